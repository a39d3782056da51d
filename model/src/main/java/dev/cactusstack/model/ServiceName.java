package dev.cactusstack.model;

/**
 * The name of a service: a lower-case DNS label.
 *
 * <p>Invariant: 1 to 63 characters of {@code a-z 0-9 -}, not starting or ending with a hyphen.
 * Immutable and thread-safe.
 *
 * @param value the label
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Checks the label. */
  public ServiceName {
    DnsLabels.requireValid(value, "service name");
  }

  /**
   * Parses a service name.
   *
   * @param text the text
   * @return the name, or an invalid-input problem
   */
  public static Result<ServiceName> parse(String text) {
    return DnsLabels.parse(text, "service name", ServiceName::new);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
