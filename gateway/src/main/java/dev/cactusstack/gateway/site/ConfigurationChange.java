package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.ServiceSettings;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A change of the configuration as read from the store. Immutable and thread-safe.
 *
 * @param revision the store's revision after this change
 * @param lastChangeRevision the revision of the newest change it contains, 0 if there is none
 * @param fullSnapshot whether this is the full configuration, so that anything absent from it does
 *     not exist
 * @param rules routes, services and limits, if they changed
 * @param evacuations evacuation state by data centre name, true while the data centre receives no
 *     requests
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
   * Routes, services and limits as configured by operators. Immutable and thread-safe.
   *
   * @param version the version that operators gave the rules
   * @param routes all routes
   * @param services all services by name
   * @param limits limits on what callers may send
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
