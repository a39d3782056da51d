package dev.cactusstack.decisions.retries;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long callers have been trying before a request reaches this host.
 *
 * <p>All callers of a route start with the same deadline, so a request with a shorter deadline is a
 * retry by its caller. Its latency objective counts from the caller's first attempt. Confined to
 * one thread.
 */
public final class CallerElapsedTime {
  private final Map<String, Long> maxDeadlinesMs = new HashMap<>();

  /**
   * Estimates the time that has passed since a caller's first attempt.
   *
   * @param route the route's name
   * @param deadlineMs the remaining deadline of the caller, in milliseconds
   * @return the elapsed time in milliseconds; 0 if this appears to be the first attempt
   */
  public long elapsedMs(String route, long deadlineMs) {
    long fullDeadlineMs = maxDeadlinesMs.merge(route, deadlineMs, Math::max);
    return fullDeadlineMs - deadlineMs;
  }
}
