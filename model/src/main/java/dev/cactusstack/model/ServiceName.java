package dev.cactusstack.model;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The name of a service: a lower-case DNS label.
 *
 * <p>Invariant: 1 to 63 characters of {@code a-z 0-9 -}, not starting or ending with a hyphen.
 * Immutable and thread-safe.
 *
 * @param value the label
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  static final Pattern LABEL = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  /** Checks the label. */
  public ServiceName {
    Objects.requireNonNull(value, "value is null");
    if (!LABEL.matcher(value).matches()) {
      throw new IllegalArgumentException("not a service name: " + value);
    }
  }

  /**
   * Parses a service name.
   *
   * @param text the text
   * @return the name, or an invalid-input problem
   */
  public static Result<ServiceName> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    if (!LABEL.matcher(text).matches()) {
      return Result.failure(
          Problem.invalid(
              "'" + text + "' is not a service name",
              "use 1 to 63 lower-case letters, digits and inner hyphens"));
    }
    return Result.success(new ServiceName(text));
  }

  @Override
  public int compareTo(ServiceName o) {
    return value.compareTo(o.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
