package dev.cactusstack.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The complete operator configuration at one revision.
 *
 * <p>Invariant: no row has a higher version than the table. Immutable and thread-safe.
 *
 * @param version the revision of the platform's table service
 * @param routes one row per service and data centre
 * @param dataCentres one row per data centre
 */
public record ConfigurationTable(
    long version,
    SortedMap<RouteKey, Route> routes,
    SortedMap<DataCentre, DataCentreRow> dataCentres) {

  /** The table before any configuration has been read. */
  public static final ConfigurationTable EMPTY =
      new ConfigurationTable(0, new TreeMap<>(), new TreeMap<>());

  /** Copies the maps. */
  public ConfigurationTable {
    routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    dataCentres = Collections.unmodifiableSortedMap(new TreeMap<>(dataCentres));
  }

  /**
   * Finds the row of a service in a data centre.
   *
   * @param key the key of the row
   * @return the row, or empty if there is none
   */
  public Optional<Route> route(RouteKey key) {
    return Optional.ofNullable(routes.get(key));
  }

  /**
   * Returns the rows of a service.
   *
   * @param service the service
   * @return its rows ordered by data centre; empty for an unknown service
   */
  public List<Route> routesOf(ServiceName service) {
    Objects.requireNonNull(service, "service is null");
    return routes.values().stream().filter(r -> r.key().service().equals(service)).toList();
  }

  /**
   * Checks whether operators have evacuated a data centre.
   *
   * @param dataCentre the data centre
   * @return true if it is evacuated
   */
  public boolean isEvacuated(DataCentre dataCentre) {
    DataCentreRow row = dataCentres.get(dataCentre);
    return row != null && row.evacuated();
  }

  /**
   * Merges changed rows into this table. A row replaces the present one only if its version is
   * higher, so the result does not depend on the order or repetition of changes.
   *
   * @param changes the changed rows, with the revision at which they were read
   * @return the merged table
   */
  public ConfigurationTable merge(ConfigurationTable changes) {
    Objects.requireNonNull(changes, "changes is null");
    Map<RouteKey, Route> mergedRoutes = new TreeMap<>(routes);
    changes.routes.forEach(
        (k, v) -> mergedRoutes.merge(k, v, (a, b) -> a.version() >= b.version() ? a : b));
    Map<DataCentre, DataCentreRow> mergedDataCentres = new TreeMap<>(dataCentres);
    changes.dataCentres.forEach(
        (k, v) -> mergedDataCentres.merge(k, v, (a, b) -> a.version() >= b.version() ? a : b));
    return new ConfigurationTable(
        Math.max(version, changes.version),
        new TreeMap<>(mergedRoutes),
        new TreeMap<>(mergedDataCentres));
  }

  /**
   * Returns the rows that changed after a revision.
   *
   * @param revision the revision that the reader already has
   * @return the changed rows, for use with {@link #merge}
   */
  public ConfigurationTable changesAfter(long revision) {
    var changedRoutes = new TreeMap<RouteKey, Route>();
    routes.values().stream()
        .filter(x -> x.version() > revision)
        .forEach(x -> changedRoutes.put(x.key(), x));
    var changedDataCentres = new TreeMap<DataCentre, DataCentreRow>();
    dataCentres.values().stream()
        .filter(x -> x.version() > revision)
        .forEach(x -> changedDataCentres.put(x.dataCentre(), x));
    return new ConfigurationTable(version, changedRoutes, changedDataCentres);
  }
}
