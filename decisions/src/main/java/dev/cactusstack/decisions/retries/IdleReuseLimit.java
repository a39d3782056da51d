package dev.cactusstack.decisions.retries;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How long a kept connection to an upstream of a service may have rested and still carry a request.
 *
 * <p>It answers upstreams that forget connections which rested, and reset them at the next request:
 * a request that must not run twice is lost with each. Several such resets, and fewer on
 * connections that hardly rested, shorten the bound for a while. An overloaded upstream resets both
 * alike, and leaves the bound as it is. Confined to one thread.
 */
public final class IdleReuseLimit {
  private static final long USUAL_MS = 5_000;
  private static final long SHORT_MS = 200;
  private static final long EVIDENCE_MS = 2_000;
  private static final long SHORTENED_MS = 8_000;
  private static final int ENOUGH = 2;

  private final Deque<Long> afterRest = new ArrayDeque<>();
  private final Deque<Long> withoutRest = new ArrayDeque<>();
  private long shortUntilMs = Long.MIN_VALUE;

  /**
   * Takes in that an upstream reset a connection right after a request was sent on it.
   *
   * @param restedMs how long the connection had rested, 0 if it was new, in milliseconds
   * @param nowMs the present time on a steady clock, in milliseconds
   */
  public void recordReset(long restedMs, long nowMs) {
    forget(nowMs);
    (restedMs >= SHORT_MS ? afterRest : withoutRest).addLast(nowMs);
    if (afterRest.size() >= ENOUGH && afterRest.size() > withoutRest.size()) {
      shortUntilMs = nowMs + SHORTENED_MS;
    }
  }

  /**
   * Returns the bound.
   *
   * @param repeatable whether the request may run twice, so that a reset loses nothing
   * @param nowMs the present time on the same clock
   * @return the longest rest, in milliseconds
   */
  public long maxIdleMs(boolean repeatable, long nowMs) {
    if (nowMs < shortUntilMs) {
      return SHORT_MS;
    }
    return repeatable ? Long.MAX_VALUE : USUAL_MS;
  }

  private void forget(long nowMs) {
    afterRest.removeIf(at -> nowMs - at > EVIDENCE_MS);
    withoutRest.removeIf(at -> nowMs - at > EVIDENCE_MS);
  }
}
