package dev.cactusstack.model;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An operator's change of one row.
 *
 * <p>Invariant: values are within the ranges of their columns. Immutable and thread-safe.
 *
 * @param key the row to change
 * @param values new values by column; columns left out keep their value
 * @param ifVersion the version the row must still have, if the operator named one
 */
public record Edit(RouteKey key, SortedMap<RouteColumn, Integer> values, OptionalLong ifVersion) {

  /** Copies the values. */
  public Edit {
    Objects.requireNonNull(key, "key is null");
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }

  /**
   * Applies the values to a row.
   *
   * @param row the row to start from
   * @return the changed row, with the version it had
   */
  public Route applyTo(Route row) {
    Objects.requireNonNull(row, "row is null");
    Route r = row;
    for (Map.Entry<RouteColumn, Integer> e : values.entrySet()) {
      r = r.with(e.getKey(), e.getValue());
    }
    return r;
  }
}
