package dev.cactusstack.model;

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
    DnsLabels.requireValid(value, "data centre name");
  }

  /**
   * Parses a data centre name.
   *
   * @param text the text
   * @return the name, or an invalid-input problem
   */
  public static Result<DataCentre> parse(String text) {
    return DnsLabels.parse(text, "data centre name", DataCentre::new);
  }

  @Override
  public int compareTo(DataCentre other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
