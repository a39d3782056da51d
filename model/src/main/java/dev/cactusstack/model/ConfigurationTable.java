package dev.cactusstack.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The whole configuration at one revision.
 *
 * <p>Invariant: no row's version exceeds the table's version. Immutable and thread-safe.
 *
 * @param version the revision of the platform's table service
 * @param routes a row for each service and data centre
 * @param dataCentres a row for each data centre
 */
public record ConfigurationTable(
    long version,
    SortedMap<RouteKey, Route> routes,
    SortedMap<DataCentre, DataCentreRow> dataCentres) {

  /** The configuration before anything has been read. */
  public static final ConfigurationTable EMPTY = new ConfigurationTable(0, new TreeMap<>(), new TreeMap<>());

  /** Copies the maps. */
  public ConfigurationTable {
    routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    dataCentres = Collections.unmodifiableSortedMap(new TreeMap<>(dataCentres));
  }

  /**
   * Finds a row.
   *
   * @param key the row's identity
   * @return the row, if the table has it
   */
  public Optional<Route> route(RouteKey key) {
    return Optional.ofNullable(routes.get(key));
  }

  /**
   * Lists the rows of a service.
   *
   * @param service the service
   * @return its rows in the order of the data centres, empty for an unknown service
   */
  public List<Route> routesOf(ServiceName service) {
    Objects.requireNonNull(service, "service is null");
    return routes.values().stream().filter(r -> r.key().service().equals(service)).toList();
  }

  /**
   * Tells whether operators have taken a data centre out.
   *
   * @param dataCentre the data centre
   * @return true when it is out
   */
  public boolean isEvacuated(DataCentre dataCentre) {
    DataCentreRow row = dataCentres.get(dataCentre);
    return row != null && row.evacuated();
  }

  /**
   * Applies changed rows. Each row replaces its predecessor only when its version is higher, so the
   * result is the same for every order and repetition of changes.
   *
   * @param change rows with the revision they were read at
   * @return the merged table
   */
  public ConfigurationTable merge(ConfigurationTable change) {
    Objects.requireNonNull(change, "change is null");
    Map<RouteKey, Route> r = new TreeMap<>(routes);
    change.routes.forEach((k, v) -> r.merge(k, v, (a, b) -> a.version() >= b.version() ? a : b));
    Map<DataCentre, DataCentreRow> d = new TreeMap<>(dataCentres);
    change.dataCentres.forEach(
        (k, v) -> d.merge(k, v, (a, b) -> a.version() >= b.version() ? a : b));
    return new ConfigurationTable(Math.max(version, change.version), new TreeMap<>(r), new TreeMap<>(d));
  }

  /**
   * Selects the rows changed after a revision.
   *
   * @param after the revision the reader already has
   * @return a change that {@link #merge} accepts
   */
  public ConfigurationTable changesAfter(long after) {
    var r = new TreeMap<RouteKey, Route>();
    routes.values().stream().filter(x -> x.version() > after).forEach(x -> r.put(x.key(), x));
    var d = new TreeMap<DataCentre, DataCentreRow>();
    dataCentres.values().stream()
        .filter(x -> x.version() > after)
        .forEach(x -> d.put(x.dataCentre(), x));
    return new ConfigurationTable(version, r, d);
  }
}
