package dev.cactusstack.decisions.matching;

import dev.cactusstack.model.site.RouteRule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host name, the one with the longest path
 * prefix that matches. Immutable and thread-safe.
 */
public final class RouteMatcher {
  private final Map<String, List<RouteRule>> routesByHost;

  /**
   * Creates a matcher.
   *
   * @param routes the routes to match
   */
  public RouteMatcher(List<RouteRule> routes) {
    Map<String, List<RouteRule>> index = new HashMap<>();
    for (RouteRule route : routes) {
      index.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
    }
    Comparator<RouteRule> longestFirst = Comparator.comparingInt(route -> -route.prefix().length());
    index.values().forEach(list -> list.sort(longestFirst));
    this.routesByHost = Map.copyOf(index);
  }

  /**
   * Finds the route of a request.
   *
   * @param authority the request's host name, with or without a port
   * @param target the request's target, with or without a query
   * @return the route, or empty if none matches
   */
  public Optional<RouteRule> match(String authority, String target) {
    List<RouteRule> candidates = routesByHost.get(withoutPort(authority));
    if (candidates == null) {
      return Optional.empty();
    }
    String path = withoutQuery(target);
    return candidates.stream().filter(r -> path.startsWith(r.prefix())).findFirst();
  }

  private static String withoutPort(String authority) {
    int colon = authority.lastIndexOf(':');
    boolean hasPort = colon >= 0 && authority.indexOf(']', colon) < 0;
    return (hasPort ? authority.substring(0, colon) : authority).toLowerCase(Locale.ROOT);
  }

  private static String withoutQuery(String target) {
    int queryStart = target.indexOf('?');
    return queryStart < 0 ? target : target.substring(0, queryStart);
  }
}
