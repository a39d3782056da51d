package dev.cactusstack.decisions.matching;

import dev.cactusstack.model.site.RouteRule;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares a route's requests among its services in proportion to their weights, by smooth weighted
 * round-robin (as in nginx, 2012): after any number of requests each service's count is within one
 * request of its exact share.
 *
 * <p>A change of the weights starts the shares of that route anew. Confined to one thread.
 */
public final class WeightedRoundRobin {
  private final Map<String, Turn> turns = new HashMap<>();

  /**
   * Chooses the service of the next request.
   *
   * @param route the request's route
   * @return the service's name
   */
  public String next(RouteRule route) {
    List<RouteRule.WeightedService> parts = route.weightedServices();
    if (parts.size() == 1) {
      return parts.get(0).service();
    }
    Turn t = turns.get(route.name());
    if (t == null || !t.parts.equals(parts)) {
      t = new Turn(parts);
      turns.put(route.name(), t);
    }
    return t.next();
  }

  private static final class Turn {
    private final List<RouteRule.WeightedService> parts;
    private final double[] credit;
    private final double total;

    Turn(List<RouteRule.WeightedService> parts) {
      this.parts = parts;
      this.credit = new double[parts.size()];
      this.total = parts.stream().mapToDouble(RouteRule.WeightedService::weight).sum();
    }

    String next() {
      int best = 0;
      for (int i = 0; i < credit.length; i++) {
        credit[i] += parts.get(i).weight();
        if (credit[i] > credit[best]) {
          best = i;
        }
      }
      credit[best] -= total;
      return parts.get(best).service();
    }
  }
}
