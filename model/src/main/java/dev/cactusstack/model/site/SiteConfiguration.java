package dev.cactusstack.model.site;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Everything that operators decide, at one moment. Immutable and thread-safe.
 *
 * @param revision the store's revision of this state; a higher one is newer
 * @param version the operators' version of the routes
 * @param routes all routes
 * @param services all services by name
 * @param limits bounds on what callers may send
 * @param evacuated names of the data centres that get no work
 */
public record SiteConfiguration(
    long revision,
    long version,
    List<RouteRule> routes,
    Map<String, ServiceSettings> services,
    CallerLimits limits,
    Set<String> evacuated) {
  /** Checks and copies the components. */
  public SiteConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    Objects.requireNonNull(limits, "limits is null");
    evacuated = Set.copyOf(evacuated);
  }
}
