package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import dev.cactusstack.model.Table;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * All that the data path needs to route a request, as published by the controllers.
 *
 * <p>Immutable and thread-safe; the schedulers it names are thread-safe.
 *
 * @param home this host's data centre
 * @param table the configuration in force
 * @param splits each service's shares of the data centres
 * @param owners the owner of each usable route
 * @param entries the entry hosts that callers may use
 */
public record RoutingView(
    DataCentre home,
    Table table,
    Map<ServiceName, TrafficSplit> splits,
    Map<RouteKey, RouteOwner> owners,
    List<Entry> entries) {

  /** Copies the collections. */
  public RoutingView {
    Objects.requireNonNull(home, "home is null");
    Objects.requireNonNull(table, "table is null");
    splits = Map.copyOf(splits);
    owners = Map.copyOf(owners);
    entries = List.copyOf(entries);
  }

  boolean knows(ServiceName service) {
    return splits.containsKey(service);
  }

  Optional<RouteOwner> owner(RouteKey key) {
    return Optional.ofNullable(owners.get(key));
  }
}
