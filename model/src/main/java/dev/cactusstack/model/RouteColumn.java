package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The editable columns of the configuration table, each with its range of values.
 *
 * <p>Immutable and thread-safe.
 */
public enum RouteColumn {
  /** Share of traffic relative to the service's other data centres; 0 means no traffic. */
  WEIGHT("weight", 0, 1_000),
  /** Maximum number of requests in flight over all upstreams of the data centre. */
  LIMIT("limit", 0, 1_000_000),
  /** Maximum number of requests in flight at one upstream. */
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
   * Returns the name of this column in files and requests.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Parses a value of this column.
   *
   * @param text a decimal integer
   * @return the value, or an invalid-input problem that states the range
   */
  public Result<Integer> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    try {
      int value = Integer.parseInt(text.trim());
      if (value >= min && value <= max) {
        return Result.success(value);
      }
    } catch (NumberFormatException e) {
      // Reported below like a number that is out of range.
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
   * @return the column, or empty if there is none
   */
  public static Optional<RouteColumn> ofLabel(String label) {
    for (RouteColumn column : values()) {
      if (column.label.equals(label)) {
        return Optional.of(column);
      }
    }
    return Optional.empty();
  }
}
