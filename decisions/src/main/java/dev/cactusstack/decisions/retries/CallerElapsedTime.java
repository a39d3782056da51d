package dev.cactusstack.decisions.retries;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of their time callers have spent before a request reaches this host.
 *
 * <p>Callers of a route start with the same deadline, so one that comes with less has tried before.
 * Its latency objective counts from its first attempt. Confined to one thread.
 */
public final class CallerElapsedTime {
  private final Map<String, Long> longest = new HashMap<>();

  /**
   * Computes what a caller has spent.
   *
   * @param route the route's name
   * @param deadlineMs how long the caller still waits, in milliseconds
   * @return milliseconds since the caller's first attempt, 0 if this seems to be the first
   */
  public long elapsedMs(String route, long deadlineMs) {
    long full = longest.merge(route, deadlineMs, Math::max);
    return full - deadlineMs;
  }
}
