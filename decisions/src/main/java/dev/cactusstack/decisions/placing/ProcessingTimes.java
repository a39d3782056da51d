package dev.cactusstack.decisions.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the requests of each route take on an undisturbed upstream: an exponentially weighted
 * mean of answer times divided by the pace that came with them. Confined to one thread.
 */
public final class ProcessingTimes {
  private static final double STEP = 0.05;
  private static final double FIRST_GUESS_OF_OBJECTIVE = 0.3;

  private final Map<String, Double> means = new HashMap<>();

  /**
   * Returns the usual answer time of a route.
   *
   * @param route the route's name
   * @param objectiveMs its latency objective, in milliseconds
   * @return milliseconds on an undisturbed upstream
   */
  public double estimateMs(String route, long objectiveMs) {
    Double mean = means.get(route);
    return mean != null ? mean : Math.max(1, objectiveMs * FIRST_GUESS_OF_OBJECTIVE);
  }

  /**
   * Takes in an answer.
   *
   * @param route the route's name
   * @param objectiveMs its latency objective, in milliseconds
   * @param ms how long the answer took, in milliseconds
   * @param pace how much longer than usual work takes on the upstream
   */
  public void recordResponse(String route, long objectiveMs, double ms, double pace) {
    double usual = ms / Math.max(1, pace);
    double mean = estimateMs(route, objectiveMs);
    means.put(route, mean + (usual - mean) * STEP);
  }
}
