package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RolloutOrder;
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
 * @param rollouts roll-out orders by service; empty where an order was removed
 */
public record ConfigurationChange(
    long revision,
    long lastChangeRevision,
    boolean fullSnapshot,
    Optional<RoutingRules> rules,
    Map<String, Boolean> evacuations,
    Map<String, Optional<RolloutOrder>> rollouts) {
  /** Copies the components. */
  public ConfigurationChange {
    evacuations = Map.copyOf(evacuations);
    rollouts = Map.copyOf(rollouts);
  }

  /**
   * Creates a change without roll-out orders.
   *
   * @param revision the store's revision after this change
   * @param lastChangeRevision the revision of the newest change it contains, 0 if there is none
   * @param fullSnapshot whether this is the full configuration
   * @param rules routes, services and limits, if they changed
   * @param evacuations evacuation state by data centre name
   */
  public ConfigurationChange(
      long revision,
      long lastChangeRevision,
      boolean fullSnapshot,
      Optional<RoutingRules> rules,
      Map<String, Boolean> evacuations) {
    this(revision, lastChangeRevision, fullSnapshot, rules, evacuations, Map.of());
  }

  /**
   * Routes, services and limits as configured by operators. Immutable and thread-safe.
   *
   * @param version the version that operators gave the rules
   * @param routes all routes
   * @param services all services by name
   * @param limits limits on what callers may send
   * @param access who may call the site
   */
  public record RoutingRules(
      long version,
      List<RouteRule> routes,
      Map<String, ServiceSettings> services,
      CallerLimits limits,
      CallerAccess access) {
    /** Copies the components. */
    public RoutingRules {
      routes = List.copyOf(routes);
      services = Map.copyOf(services);
    }

    /**
     * Creates rules of an open site.
     *
     * @param version the version that operators gave the rules
     * @param routes all routes
     * @param services all services by name
     * @param limits limits on what callers may send
     */
    public RoutingRules(
        long version,
        List<RouteRule> routes,
        Map<String, ServiceSettings> services,
        CallerLimits limits) {
      this(version, routes, services, limits, CallerAccess.OPEN);
    }
  }
}
