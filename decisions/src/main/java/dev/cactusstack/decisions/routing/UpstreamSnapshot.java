package dev.cactusstack.decisions.routing;

/**
 * The state of one upstream, as input to a load balancing policy. Immutable and thread-safe.
 *
 * @param inFlight number of requests that the owner of the route has in flight at the upstream
 * @param limit maximum number of requests that may be in flight now
 * @param latencyMs smoothed response time, in milliseconds
 * @param oldestRequestAgeMs age of the oldest request in flight, in milliseconds; 0 when idle
 * @param idleMs time since the last response while no request is in flight, in milliseconds; 0 when
 *     busy
 * @param failureRate smoothed share of failed responses, from 0 to 1
 */
public record UpstreamSnapshot(
    int inFlight,
    int limit,
    double latencyMs,
    double oldestRequestAgeMs,
    double idleMs,
    double failureRate) {

  /** Differences below this are measurement noise, not differences between upstreams. */
  private static final double MIN_LATENCY_MS = 1;

  /**
   * Cost of a failed response, in milliseconds, so that an upstream that fails fast does not
   * attract requests.
   */
  private static final double FAILURE_COST_MS = 250;

  /**
   * Estimates the cost of a request from past responses.
   *
   * @return the response time plus the cost of the share of failures, in milliseconds
   */
  double costMs() {
    return Math.max(MIN_LATENCY_MS, latencyMs) + failureRate * FAILURE_COST_MS;
  }

  /**
   * Checks whether another request may be sent.
   *
   * @return true if fewer requests are in flight than the limit
   */
  public boolean hasCapacity() {
    return inFlight < limit;
  }
}
