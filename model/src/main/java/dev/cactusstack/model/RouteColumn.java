package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The editable columns of the table, each with its range.
 *
 * <p>Immutable and thread-safe.
 */
public enum RouteColumn {
  /** Share of traffic, relative to the service's other data centres; 0 sends nothing. */
  WEIGHT("weight", 0, 1_000),
  /** Most requests in flight over all upstreams of the data centre. */
  LIMIT("limit", 0, 1_000_000),
  /** Most requests in flight at one upstream. */
  UPSTREAM_LIMIT("upstream_limit", 1, 10_000);

  private final String label;
  private final int min;
  private final int max;

  RouteColumn(String label, int min, int max) {
    this.label = label;
    this.min = min;
    this.max = max;
  }

  /**
   * Returns the column's name in files and requests.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Parses a value of this column.
   *
   * @param text a decimal whole number
   * @return the value, or an invalid-input problem that names the range
   */
  public Result<Integer> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    try {
      int v = Integer.parseInt(text.trim());
      if (v >= min && v <= max) {
        return Result.success(v);
      }
    } catch (NumberFormatException e) {
      // Reported below, as for a number out of range.
    }
    return Result.failure(
        Problem.invalid(
            label + "=" + text + " is not accepted",
            "give a whole number from " + min + " to " + max));
  }

  /**
   * Finds a column by its label.
   *
   * @param label the label
   * @return the column, if there is one
   */
  public static Optional<RouteColumn> ofLabel(String label) {
    for (RouteColumn c : values()) {
      if (c.label.equals(label)) {
        return Optional.of(c);
      }
    }
    return Optional.empty();
  }
}
