package dev.cactusstack.model;

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
    Labels.require(value, "host id");
  }

  /**
   * Parses a host id.
   *
   * @param text the text
   * @return the id, or an invalid-input problem
   */
  public static Result<HostId> parse(String text) {
    return Labels.parse(text, "host id", HostId::new);
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
