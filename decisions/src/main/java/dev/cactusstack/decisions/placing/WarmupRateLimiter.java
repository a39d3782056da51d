package dev.cactusstack.decisions.placing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the rate of requests to a cold upstream to this scheduler's share of the total limit.
 *
 * <p>Invariant: in any window of {@value #WINDOW_MS} ms, at most the given number of requests is
 * sent. The window is longer than one second because network delays vary: requests sent more than a
 * second apart may arrive within the same second. Confined to one thread.
 */
final class WarmupRateLimiter {
  static final long WINDOW_MS = 1_100;

  private final Deque<Long> sentAtMs = new ArrayDeque<>();

  /** Checks whether another request is allowed, without counting it. */
  boolean allows(int limit, long nowMs) {
    while (!sentAtMs.isEmpty() && nowMs - sentAtMs.peekFirst() >= WINDOW_MS) {
      sentAtMs.removeFirst();
    }
    return sentAtMs.size() < limit;
  }

  void recordRequest(long nowMs) {
    sentAtMs.addLast(nowMs);
  }
}
