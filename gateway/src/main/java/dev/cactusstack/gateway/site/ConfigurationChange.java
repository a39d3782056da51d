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
 * @param changedAt the revision of the newest change in it, 0 if there is none
 * @param complete whether this is everything, so that what isn't named isn't there
 * @param rules routes, services and limits, if they changed
 * @param evacuations data centres by name, with true while they get no work
 */
public record ConfigurationChange(
    long revision,
    long changedAt,
    boolean complete,
    Optional<Rules> rules,
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
  public record Rules(
      long version,
      List<RouteRule> routes,
      Map<String, ServiceSettings> services,
      CallerLimits limits) {
    /** Copies the components. */
    public Rules {
      routes = List.copyOf(routes);
      services = Map.copyOf(services);
    }
  }
}
