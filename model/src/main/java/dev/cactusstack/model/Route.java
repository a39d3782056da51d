package dev.cactusstack.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A row of the table: what one service may receive in one data centre.
 *
 * <p>Invariant: weight and limits are within their {@link RouteColumn} ranges. Immutable and
 * thread-safe.
 *
 * @param key the row's identity
 * @param weight the share of the service's traffic, relative to its other data centres
 * @param limit most requests in flight in this data centre, over all upstreams
 * @param upstreamLimit most requests in flight at one upstream
 * @param version the table revision that last changed the row
 * @param operations the ids of the last accepted operations on this row, newest first
 */
public record Route(
    RouteKey key, int weight, int limit, int upstreamLimit, long version, List<String> operations) {

  /** Number of operation ids a row remembers. */
  public static final int MAX_RECORDED_OPERATIONS = 8;

  /** Checks the components. */
  public Route {
    Objects.requireNonNull(key, "key is null");
    operations = List.copyOf(operations);
  }

  /**
   * Reads one column.
   *
   * @param column the column
   * @return its value in this row
   */
  public int get(RouteColumn column) {
    return switch (column) {
      case WEIGHT -> weight;
      case LIMIT -> limit;
      case UPSTREAM_LIMIT -> upstreamLimit;
    };
  }

  /**
   * Replaces one column.
   *
   * @param column the column
   * @param value the new value
   * @return the changed row
   */
  public Route with(RouteColumn column, int value) {
    return switch (column) {
      case WEIGHT -> new Route(key, value, limit, upstreamLimit, version, operations);
      case LIMIT -> new Route(key, weight, value, upstreamLimit, version, operations);
      case UPSTREAM_LIMIT -> new Route(key, weight, limit, value, version, operations);
    };
  }

  /**
   * Replaces the version.
   *
   * @param next the table revision that last changed the row
   * @return the changed row
   */
  public Route withVersion(long next) {
    return new Route(key, weight, limit, upstreamLimit, next, operations);
  }

  /**
   * Records an accepted operation, and forgets the oldest one past {@link #OPERATIONS_KEPT}.
   *
   * @param operation the operation's id
   * @return the changed row
   */
  public Route withOperation(String operation) {
    var ids = new ArrayList<String>();
    ids.add(operation);
    ids.addAll(operations.subList(0, Math.min(operations.size(), MAX_RECORDED_OPERATIONS - 1)));
    return new Route(key, weight, limit, upstreamLimit, version, ids);
  }
}
