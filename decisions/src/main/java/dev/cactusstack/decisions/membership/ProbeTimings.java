package dev.cactusstack.decisions.membership;

/**
 * The timings of failure detection, in milliseconds. Immutable and thread-safe.
 *
 * @param probeIntervalMs the interval between two probes sent by a host
 * @param directTimeoutMs how long to wait for a direct acknowledgement before asking other members
 *     to probe
 * @param suspicionTimeoutMs how long a suspected member has to refute the suspicion
 * @param rejoinIntervalMs the interval between two attempts to reach a listed host that is not a
 *     live member
 * @param deadRetentionMs how long a dead member is kept
 */
public record ProbeTimings(
    long probeIntervalMs,
    long directTimeoutMs,
    long suspicionTimeoutMs,
    long rejoinIntervalMs,
    long deadRetentionMs) {
  /** Timings that detect a crash within 3 s in a group of 20 hosts. */
  public static final ProbeTimings DEFAULT = new ProbeTimings(400, 150, 1_200, 3_000, 60_000);
}
