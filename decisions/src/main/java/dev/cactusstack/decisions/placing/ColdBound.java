package dev.cactusstack.decisions.placing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps what one host sends to a cold upstream within the host's part of the bound for all hosts.
 *
 * <p>Invariant: in any {@value #WINDOW_MS} ms at most the bound is allowed. The window is longer
 * than a second, so that requests that are delayed on their way differently still keep the bound of
 * a second. Confined to one thread.
 */
final class ColdBound {
  static final long WINDOW_MS = 1_100;

  private final Deque<Long> sent = new ArrayDeque<>();

  /** Tells whether one more request is allowed, without counting it. */
  boolean allows(int bound, long nowMs) {
    while (!sent.isEmpty() && nowMs - sent.peekFirst() >= WINDOW_MS) {
      sent.removeFirst();
    }
    return sent.size() < bound;
  }

  void count(long nowMs) {
    sent.addLast(nowMs);
  }
}
