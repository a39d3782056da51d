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
 * Finds the route of a request: of the routes of its host name, the one with the longest prefix
 * that begins the path. Immutable and thread-safe.
 */
public final class RouteMatcher {
  private final Map<String, List<RouteRule>> byHost;

  /**
   * Indexes routes.
   *
   * @param routes the routes in force
   */
  public RouteMatcher(List<RouteRule> routes) {
    Map<String, List<RouteRule>> index = new HashMap<>();
    for (RouteRule r : routes) {
      index.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
    }
    Comparator<RouteRule> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
    index.values().forEach(list -> list.sort(longestFirst));
    this.byHost = Map.copyOf(index);
  }

  /**
   * Finds the route of a request.
   *
   * @param authority the request's host name, with or without a port
   * @param target the request's target, with or without a query
   * @return the route, or nothing when none matches
   */
  public Optional<RouteRule> match(String authority, String target) {
    List<RouteRule> candidates = byHost.get(hostName(authority));
    if (candidates == null) {
      return Optional.empty();
    }
    String path = path(target);
    return candidates.stream().filter(r -> path.startsWith(r.prefix())).findFirst();
  }

  private static String hostName(String authority) {
    int colon = authority.lastIndexOf(':');
    boolean port = colon >= 0 && authority.indexOf(']', colon) < 0;
    return (port ? authority.substring(0, colon) : authority).toLowerCase(Locale.ROOT);
  }

  private static String path(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
