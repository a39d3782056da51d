package dev.cactusstack.gateway.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts what the host does. Counting costs an addition; {@link PrometheusFormat} turns the counts into
 * metrics when somebody asks for them.
 *
 * <p>Invariant: at most {@value #MOST_ROUTES} routes are told apart, further ones are counted
 * together. Confined to the event loop.
 */
public final class GatewayMetrics {
  static final int MAX_ROUTES = 200;
  private static final String OTHER = "other";

  private final Map<String, RouteMetrics> routes = new LinkedHashMap<>();
  private final Map<String, Counter> counters = new LinkedHashMap<>();

  /**
   * Returns the counts of a route.
   *
   * @param name the route's name
   * @return its counts, or those of all routes beyond the bound
   */
  public RouteMetrics route(String name) {
    RouteMetrics known = routes.get(name);
    if (known != null) {
      return known;
    }
    String counted = routes.size() < MAX_ROUTES ? name : OTHER;
    return routes.computeIfAbsent(counted, n -> new RouteMetrics());
  }

  /**
   * Adds a number that only grows and is read when metrics are asked for.
   *
   * @param name the metric's name, with underscores
   * @param help what it counts
   * @param value reads it
   */
  public void registerCounter(String name, String help, LongSupplier value) {
    counters.put(name, new Counter(help, value));
  }

  Map<String, RouteMetrics> routes() {
    return routes;
  }

  Map<String, Counter> counters() {
    return counters;
  }

  /** A number that only grows. */
  record Counter(String help, LongSupplier value) {}
}
