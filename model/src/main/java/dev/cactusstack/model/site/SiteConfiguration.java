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
 * @param access who may call the site
 * @param rollouts the roll-out orders by service
 */
public record SiteConfiguration(
    long revision,
    long version,
    List<RouteRule> routes,
    Map<String, ServiceSettings> services,
    CallerLimits limits,
    Set<String> evacuated,
    CallerAccess access,
    Map<String, RolloutOrder> rollouts) {
  /** Checks and copies the components. */
  public SiteConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    Objects.requireNonNull(limits, "limits is null");
    evacuated = Set.copyOf(evacuated);
    Objects.requireNonNull(access, "access is null");
    rollouts = Map.copyOf(rollouts);
  }

  /**
   * Creates a configuration of an open site without roll-outs.
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
    this(revision, version, routes, services, limits, evacuated, CallerAccess.OPEN, Map.of());
  }

  /**
   * Returns the same configuration with other evacuations.
   *
   * @param dataCentres names of the data centres that receive no traffic
   * @return the configuration
   */
  public SiteConfiguration withEvacuated(Set<String> dataCentres) {
    return new SiteConfiguration(
        revision, version, routes, services, limits, dataCentres, access, rollouts);
  }

  /**
   * Returns the workspaces of the site.
   *
   * @return all workspaces by name; that there are none does not tell whether callers need a key
   */
  public Map<String, Workspace> workspaces() {
    return access.workspaces();
  }
}
