package dev.cactusstack.gateway.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts what the host does. Counting costs an addition; {@link FiguresText} turns the counts into
 * metrics when somebody asks for them.
 *
 * <p>Invariant: at most {@value #MOST_ROUTES} routes are told apart, further ones are counted
 * together. Confined to the event loop.
 */
public final class Figures {
  static final int MOST_ROUTES = 200;
  private static final String OTHER = "other";

  private final Map<String, RouteFigures> routes = new LinkedHashMap<>();
  private final Map<String, Total> totals = new LinkedHashMap<>();

  /**
   * Returns the counts of a route.
   *
   * @param name the route's name
   * @return its counts, or those of all routes beyond the bound
   */
  public RouteFigures route(String name) {
    RouteFigures known = routes.get(name);
    if (known != null) {
      return known;
    }
    String counted = routes.size() < MOST_ROUTES ? name : OTHER;
    return routes.computeIfAbsent(counted, n -> new RouteFigures());
  }

  /**
   * Adds a number that only grows and is read when metrics are asked for.
   *
   * @param name the metric's name, with underscores
   * @param help what it counts
   * @param value reads it
   */
  public void total(String name, String help, LongSupplier value) {
    totals.put(name, new Total(help, value));
  }

  Map<String, RouteFigures> routes() {
    return routes;
  }

  Map<String, Total> totals() {
    return totals;
  }

  /** A number that only grows. */
  record Total(String help, LongSupplier value) {}
}
