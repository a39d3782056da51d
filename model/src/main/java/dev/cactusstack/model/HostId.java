package dev.cactusstack.model;

import java.util.Objects;

/**
 * The identity of an entry host, unique among live hosts.
 *
 * <p>Invariant: as for {@link ServiceName}. Immutable and thread-safe.
 *
 * @param value the identity
 */
public record HostId(String value) implements Comparable<HostId> {

  /** Checks the value. */
  public HostId {
    Objects.requireNonNull(value, "value is null");
    if (!ServiceName.LABEL.matcher(value).matches()) {
      throw new IllegalArgumentException("not a host id: " + value);
    }
  }

  /**
   * Parses a host id.
   *
   * @param text the text
   * @return the id, or an invalid-input problem
   */
  public static Result<HostId> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    if (!ServiceName.LABEL.matcher(text).matches()) {
      return Result.failure(
          Problem.invalid(
              "'" + text + "' is not a host id",
              "use 1 to 63 lower-case letters, digits and inner hyphens"));
    }
    return Result.success(new HostId(text));
  }

  @Override
  public int compareTo(HostId o) {
    return value.compareTo(o.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
