package dev.cactusstack.decisions.matching;

import dev.cactusstack.model.site.RouteRule;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes a route's requests among its services in proportion to their weights, by smooth
 * weighted round-robin (as in nginx, 2012): after any number of requests the count of each service
 * is within one request of its exact share.
 *
 * <p>A change of the weights of a route resets its rotation. Confined to one thread.
 */
public final class WeightedRoundRobin {
  private final Map<String, Rotation> rotations = new HashMap<>();

  /**
   * Selects the service for the next request.
   *
   * @param route the request's route, which is not closed
   * @return the service's name
   */
  public String next(RouteRule route) {
    List<RouteRule.WeightedService> services = route.weightedServices();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Rotation rotation = rotations.get(route.name());
    if (rotation == null || !rotation.services.equals(services)) {
      rotation = new Rotation(services);
      rotations.put(route.name(), rotation);
    }
    return rotation.next();
  }

  private static final class Rotation {
    private final List<RouteRule.WeightedService> services;
    private final double[] currentWeights;
    private final double totalWeight;

    Rotation(List<RouteRule.WeightedService> services) {
      this.services = services;
      this.currentWeights = new double[services.size()];
      this.totalWeight = services.stream().mapToDouble(RouteRule.WeightedService::weight).sum();
    }

    String next() {
      int best = 0;
      for (int i = 0; i < currentWeights.length; i++) {
        currentWeights[i] += services.get(i).weight();
        if (currentWeights[i] > currentWeights[best]) {
          best = i;
        }
      }
      currentWeights[best] -= totalWeight;
      return services.get(best).service();
    }
  }
}
