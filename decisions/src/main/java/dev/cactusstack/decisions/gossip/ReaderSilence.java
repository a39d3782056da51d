package dev.cactusstack.decisions.gossip;

import java.util.OptionalLong;

/**
 * Decides when a host that relies on the configuration readers reads the store itself, because it
 * has heard of none of them lately.
 *
 * <p>A change has to be in force sooner than the failure detector considers a host dead. Readers
 * are many, so the youngest heartbeat of any of them is much younger than that of a single host,
 * and its absence shows earlier that all are lost. Confined to one thread.
 */
public final class ReaderSilence {
  /** Age of the youngest heartbeat of a reader above which all readers may be lost. */
  public static final long MAX_SILENCE_MS = 1_300;

  /** Interval of the reads while all readers are silent. */
  public static final long READ_INTERVAL_MS = 600;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long lastReadAtMs = NEVER;

  /**
   * Records that this host reads the store.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void recordRead(long nowMs) {
    lastReadAtMs = nowMs;
  }

  /**
   * Returns when the store has to be read if no reader is heard of until then.
   *
   * @param youngestHeartbeatAgeMs age of the youngest heartbeat of a reader, in milliseconds; empty
   *     if none is known
   * @param nowMs the current time on the same clock
   * @return milliseconds from now; 0 if the read is due
   */
  public long untilReadMs(OptionalLong youngestHeartbeatAgeMs, long nowMs) {
    long untilSilentMs = MAX_SILENCE_MS - youngestHeartbeatAgeMs.orElse(MAX_SILENCE_MS);
    long untilIntervalEndsMs = lastReadAtMs + READ_INTERVAL_MS - nowMs;
    return Math.max(0, Math.max(untilSilentMs, untilIntervalEndsMs));
  }
}
