package dev.cactusstack.model;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An operator's change to one row of the configuration table.
 *
 * <p>Invariant: values are within the ranges of their columns. Immutable and thread-safe.
 *
 * @param key the row to change
 * @param values new values by column; columns that are absent keep their value
 * @param ifVersion the version that the row is required to have, if the operator specified one
 */
public record Edit(RouteKey key, SortedMap<RouteColumn, Integer> values, OptionalLong ifVersion) {

  /** Copies the values. */
  public Edit {
    Objects.requireNonNull(key, "key is null");
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }

  /**
   * Applies this edit to a row.
   *
   * @param row the current row
   * @return the changed row, with its version unchanged
   */
  public Route applyTo(Route row) {
    Objects.requireNonNull(row, "row is null");
    Route changed = row;
    for (Map.Entry<RouteColumn, Integer> e : values.entrySet()) {
      changed = changed.with(e.getKey(), e.getValue());
    }
    return changed;
  }
}
