package dev.cactusstack.decisions.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the size of each route's response bodies as an exponentially weighted mean. Confined to
 * one thread.
 */
public final class ResponseSizes {
  private static final double SMOOTHING = 0.05;

  private final Map<String, Double> meansBytes = new HashMap<>();

  /**
   * Returns the estimated size of a response.
   *
   * @param route the route's name
   * @return the size in bytes; 0 before the first response
   */
  public int estimateBytes(String route) {
    return (int) Math.round(meansBytes.getOrDefault(route, 0.0));
  }

  /**
   * Updates the estimate of a route with a response.
   *
   * @param route the route's name
   * @param bytes the size of the response body, in bytes
   */
  public void recordResponse(String route, int bytes) {
    meansBytes.merge(route, (double) bytes, (mean, size) -> mean + (size - mean) * SMOOTHING);
  }
}
