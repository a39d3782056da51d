package dev.cactusstack.decisions.placing;

/**
 * Tells callers that are turned away when to come back: each gets a time of its own, as far after
 * the previous one as a request takes of the service's capacity. So they return no faster than they
 * can be served, and not all at once. Confined to one thread.
 */
final class ReturnTimes {
  private static final double SOONEST_MS = 30;
  private static final double LATEST_MS = 1_000;

  private double lastMs = Double.NEGATIVE_INFINITY;

  /**
   * Gives the next time.
   *
   * @param aheadMs work that is ahead of the caller now, in milliseconds
   * @param eachMs time between two requests that the service can take, in milliseconds
   * @param nowMs the present time on a steady clock, in milliseconds
   * @return milliseconds from now
   */
  long next(double aheadMs, double eachMs, long nowMs) {
    double at = Math.max(nowMs + Math.max(SOONEST_MS, aheadMs), lastMs + eachMs);
    if (at > nowMs + LATEST_MS) {
      return Math.round(LATEST_MS);
    }
    lastMs = at;
    return Math.round(at - nowMs);
  }
}
