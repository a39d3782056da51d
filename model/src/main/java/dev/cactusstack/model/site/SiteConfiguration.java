package dev.cactusstack.model.site;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The complete operator configuration of a site at one revision. Immutable and thread-safe.
 *
 * @param revision the store's revision of this configuration; a higher one is newer
 * @param version the version that operators gave the routes
 * @param routes all routes
 * @param services all services by name
 * @param limits limits on the requests of callers
 * @param evacuated names of the data centres that receive no traffic
 * @param workspaces all workspaces by name; empty if callers need no API key
 * @param rollouts the roll-out orders by service
 */
public record SiteConfiguration(
    long revision,
    long version,
    List<RouteRule> routes,
    Map<String, ServiceSettings> services,
    CallerLimits limits,
    Set<String> evacuated,
    Map<String, Workspace> workspaces,
    Map<String, RolloutOrder> rollouts) {
  /** Checks and copies the components. */
  public SiteConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    Objects.requireNonNull(limits, "limits is null");
    evacuated = Set.copyOf(evacuated);
    workspaces = Map.copyOf(workspaces);
    rollouts = Map.copyOf(rollouts);
  }

  /**
   * Creates a configuration without workspaces and roll-outs.
   *
   * @param revision the store's revision of this configuration
   * @param version the version that operators gave the routes
   * @param routes all routes
   * @param services all services by name
   * @param limits limits on the requests of callers
   * @param evacuated names of the data centres that receive no traffic
   */
  public SiteConfiguration(
      long revision,
      long version,
      List<RouteRule> routes,
      Map<String, ServiceSettings> services,
      CallerLimits limits,
      Set<String> evacuated) {
    this(revision, version, routes, services, limits, evacuated, Map.of(), Map.of());
  }
}
