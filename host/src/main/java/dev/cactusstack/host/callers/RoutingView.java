package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * All that the data path needs to route a request, as published by the controllers.
 *
 * <p>Immutable and thread-safe; the schedulers it names are thread-safe.
 *
 * @param home this host's data centre
 * @param configured whether the host has any configuration
 * @param services every service of the table; one without a usable route has no targets
 * @param entries the entry hosts that callers may use
 */
public record RoutingView(
    DataCentre home,
    boolean configured,
    Map<ServiceName, ServiceView> services,
    List<EntryEndpoint> entries) {

  /** Copies the collections. */
  public RoutingView {
    Objects.requireNonNull(home, "home is null");
    services = Map.copyOf(services);
    entries = List.copyOf(entries);
  }

  boolean contains(ServiceName service) {
    return services.containsKey(service);
  }

  @Nullable ServiceView service(ServiceName name) {
    return services.get(name);
  }

  /**
   * Finds the owner of a route.
   *
   * @param key the route
   * @return its owner, if the route can serve now
   */
  public Optional<RouteOwner> owner(RouteKey key) {
    ServiceView s = services.get(key.service());
    ServiceView.Target t = s == null ? null : s.targetIn(key.dataCentre());
    return t == null ? Optional.empty() : Optional.of(t.owner());
  }

  /**
   * Tells whether any route can serve now.
   *
   * @return true when there is one
   */
  public boolean canServe() {
    return services.values().stream().anyMatch(s -> !s.targets().isEmpty());
  }
}
