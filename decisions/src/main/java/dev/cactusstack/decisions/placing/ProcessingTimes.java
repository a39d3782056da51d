package dev.cactusstack.decisions.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the processing time of each route's requests on an undisturbed upstream.
 *
 * <p>The estimate is an exponentially weighted mean of response times, each divided by the slowdown
 * that the upstream reported with it. Confined to one thread.
 */
public final class ProcessingTimes {
  private static final double SMOOTHING = 0.05;
  private static final double INITIAL_SHARE_OF_OBJECTIVE = 0.3;

  private final Map<String, Double> meansMs = new HashMap<>();

  /**
   * Returns the estimated processing time of a route.
   *
   * @param route the route's name
   * @param latencyObjectiveMs the latency objective of the route, in milliseconds; the first
   *     estimate is a share of it
   * @return the processing time on an undisturbed upstream, in milliseconds
   */
  public double estimateMs(String route, long latencyObjectiveMs) {
    Double mean = meansMs.get(route);
    return mean != null ? mean : Math.max(1, latencyObjectiveMs * INITIAL_SHARE_OF_OBJECTIVE);
  }

  /**
   * Updates the estimate of a route with a response.
   *
   * @param route the route's name
   * @param latencyObjectiveMs the latency objective of the route, in milliseconds
   * @param durationMs the response time, in milliseconds
   * @param slowdown the slowdown factor of the upstream
   */
  public void recordResponse(
      String route, long latencyObjectiveMs, double durationMs, double slowdown) {
    double undisturbedMs = durationMs / Math.max(1, slowdown);
    double mean = estimateMs(route, latencyObjectiveMs);
    meansMs.put(route, mean + (undisturbedMs - mean) * SMOOTHING);
  }
}
