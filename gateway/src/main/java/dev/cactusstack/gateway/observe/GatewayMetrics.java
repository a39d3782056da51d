package dev.cactusstack.gateway.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Collects the metrics of a host. Recording only increments counters; {@link PrometheusFormat}
 * formats them when metrics are requested.
 *
 * <p>Invariant: at most {@value #MAX_ROUTES} routes are counted separately, further routes are
 * counted together. Confined to the event loop.
 */
public final class GatewayMetrics {
  static final int MAX_ROUTES = 200;
  private static final String OTHER_ROUTES = "other";

  private final Map<String, RouteMetrics> routes = new LinkedHashMap<>();
  private final Map<String, Counter> counters = new LinkedHashMap<>();
  private final WorkspaceMetrics workspaces = new WorkspaceMetrics();

  /**
   * Returns the metrics of a route.
   *
   * @param name the route's name
   * @return its metrics, or the common metrics of all routes beyond the limit
   */
  public RouteMetrics route(String name) {
    RouteMetrics existing = routes.get(name);
    if (existing != null) {
      return existing;
    }
    String metricName = routes.size() < MAX_ROUTES ? name : OTHER_ROUTES;
    return routes.computeIfAbsent(metricName, n -> new RouteMetrics());
  }

  /**
   * Returns the metrics of the workspaces.
   *
   * @return counters that stay empty on a site without workspaces
   */
  public WorkspaceMetrics workspaces() {
    return workspaces;
  }

  /**
   * Registers a counter whose value is read when metrics are requested.
   *
   * @param name the metric's name, with underscores
   * @param help the metric's description
   * @param value supplies the current value, which never decreases
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

  /** A monotonically increasing value. */
  record Counter(String help, LongSupplier value) {}
}
