package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.ServiceSettings;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the store says of the configuration. Immutable and thread-safe.
 *
 * @param revision the store's revision that this brings up to
 * @param lastChangeRevision the revision of the newest change in it, 0 if there is none
 * @param fullSnapshot whether this is everything, so that what isn't named isn't there
 * @param rules routes, services and limits, if they changed
 * @param evacuations data centres by name, with true while they get no work
 */
public record ConfigurationChange(
    long revision,
    long lastChangeRevision,
    boolean fullSnapshot,
    Optional<RoutingRules> rules,
    Map<String, Boolean> evacuations) {
  /** Copies the components. */
  public ConfigurationChange {
    evacuations = Map.copyOf(evacuations);
  }

  /**
   * The operators' rules. Immutable and thread-safe.
   *
   * @param version the operators' version
   * @param routes all routes
   * @param services all services by name
   * @param limits bounds on what callers may send
   */
  public record RoutingRules(
      long version,
      List<RouteRule> routes,
      Map<String, ServiceSettings> services,
      CallerLimits limits) {
    /** Copies the components. */
    public RoutingRules {
      routes = List.copyOf(routes);
      services = Map.copyOf(services);
    }
  }
}
