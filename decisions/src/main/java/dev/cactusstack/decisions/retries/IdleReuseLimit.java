package dev.cactusstack.decisions.retries;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits how long a pooled connection to an upstream of a service may have been idle to be reused.
 *
 * <p>Some upstreams drop idle connections and reset them at the next request. A request that is not
 * idempotent fails with each such reset. The limit is lowered for a while after several resets of
 * idle connections, if there were fewer resets of connections that had hardly been idle. An
 * overloaded upstream resets both kinds alike and does not change the limit. Confined to one
 * thread.
 */
public final class IdleReuseLimit {
  private static final long DEFAULT_MAX_IDLE_MS = 5_000;
  private static final long REDUCED_MAX_IDLE_MS = 200;
  private static final long RESET_WINDOW_MS = 2_000;
  private static final long REDUCTION_PERIOD_MS = 8_000;
  private static final int MIN_IDLE_RESETS = 2;

  private final Deque<Long> idleResets = new ArrayDeque<>();
  private final Deque<Long> activeResets = new ArrayDeque<>();
  private long reducedUntilMs = Long.MIN_VALUE;

  /**
   * Records that an upstream reset a connection right after a request was sent on it.
   *
   * @param idleMs how long the connection had been idle, in milliseconds; 0 if it was new
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void recordReset(long idleMs, long nowMs) {
    discardOldResets(nowMs);
    (idleMs >= REDUCED_MAX_IDLE_MS ? idleResets : activeResets).addLast(nowMs);
    if (idleResets.size() >= MIN_IDLE_RESETS && idleResets.size() > activeResets.size()) {
      reducedUntilMs = nowMs + REDUCTION_PERIOD_MS;
    }
  }

  /**
   * Returns the current limit.
   *
   * @param idempotent whether the request may run twice, so that it can be retried after a reset
   * @param nowMs the current time on the same clock
   * @return the longest idle time, in milliseconds
   */
  public long maxIdleMs(boolean idempotent, long nowMs) {
    if (nowMs < reducedUntilMs) {
      return REDUCED_MAX_IDLE_MS;
    }
    return idempotent ? Long.MAX_VALUE : DEFAULT_MAX_IDLE_MS;
  }

  private void discardOldResets(long nowMs) {
    idleResets.removeIf(resetAtMs -> nowMs - resetAtMs > RESET_WINDOW_MS);
    activeResets.removeIf(resetAtMs -> nowMs - resetAtMs > RESET_WINDOW_MS);
  }
}
