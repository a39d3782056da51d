package dev.cactusstack.decisions.membership;

/**
 * The periods of failure detection, in milliseconds. Immutable and thread-safe.
 *
 * @param probeIntervalMs between two probes of a host
 * @param directTimeoutMs how long a direct answer may take before others are asked to probe
 * @param suspicionTimeoutMs how long a suspected member has to refute
 * @param rejoinIntervalMs between two attempts to reach a listed host that is not a live member
 * @param deadRetentionMs how long a dead member is remembered
 */
public record ProbeTimings(
    long probeIntervalMs,
    long directTimeoutMs,
    long suspicionTimeoutMs,
    long rejoinIntervalMs,
    long deadRetentionMs) {
  /** Periods that detect a crash within 3 s in a group of 20 hosts. */
  public static final ProbeTimings DEFAULT = new ProbeTimings(400, 150, 1_200, 3_000, 60_000);
}
