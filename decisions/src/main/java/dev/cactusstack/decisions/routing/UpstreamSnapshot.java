package dev.cactusstack.decisions.routing;

/**
 * What a choice needs to know of one upstream. Immutable and thread-safe.
 *
 * @param inFlight requests that this owner has in flight there
 * @param limit most requests that may be in flight there now
 * @param latencyMs smoothed time of an answer, in milliseconds
 * @param oldestRequestAgeMs age of the oldest request in flight, in milliseconds, 0 when idle
 * @param idleMs time since its last answer while nothing is in flight, in milliseconds; 0 when
 *     busy
 * @param failureRate smoothed share of failed answers, from 0 to 1
 */
public record UpstreamSnapshot(
    int inFlight,
    int limit,
    double latencyMs,
    double oldestRequestAgeMs,
    double idleMs,
    double failureRate) {

  /** Differences below this are noise of the measurement, not of the upstreams. */
  private static final double MIN_LATENCY_MS = 1;

  /**
   * What a failed answer costs, in milliseconds, so that failing fast does not attract requests.
   */
  private static final double FAILURE_COST_MS = 250;

  /**
   * Estimates the cost of a request by past answers.
   *
   * @return the answer time, and the share of failures at its price, in milliseconds
   */
  double costMs() {
    return Math.max(MIN_LATENCY_MS, latencyMs) + failureRate * FAILURE_COST_MS;
  }

  /**
   * Tells whether another request may be sent.
   *
   * @return true when in flight is below the limit
   */
  public boolean hasCapacity() {
    return inFlight < limit;
  }
}
