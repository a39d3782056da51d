package dev.cactusstack.model;

import java.util.Objects;

/**
 * The name of a data centre: a lower-case DNS label.
 *
 * <p>Invariant: as for {@link ServiceName}. Immutable and thread-safe.
 *
 * @param value the label
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

  /** Checks the label. */
  public DataCentre {
    Objects.requireNonNull(value, "value is null");
    if (!ServiceName.LABEL.matcher(value).matches()) {
      throw new IllegalArgumentException("not a data centre name: " + value);
    }
  }

  /**
   * Parses a data centre's name.
   *
   * @param text the text
   * @return the name, or an invalid-input problem
   */
  public static Result<DataCentre> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    if (!ServiceName.LABEL.matcher(text).matches()) {
      return Result.failure(
          Problem.invalid(
              "'" + text + "' is not a data centre name",
              "use 1 to 63 lower-case letters, digits and inner hyphens"));
    }
    return Result.success(new DataCentre(text));
  }

  @Override
  public int compareTo(DataCentre o) {
    return value.compareTo(o.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
