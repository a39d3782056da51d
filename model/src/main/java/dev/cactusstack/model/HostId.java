package dev.cactusstack.model;

/**
 * The id of an entry host, unique among live hosts.
 *
 * <p>Invariant: as for {@link ServiceName}. Immutable and thread-safe.
 *
 * @param value the id
 */
public record HostId(String value) implements Comparable<HostId> {

  /** Checks the value. */
  public HostId {
    DnsLabels.requireValid(value, "host id");
  }

  /**
   * Parses a host id.
   *
   * @param text the text
   * @return the id, or an invalid-input problem
   */
  public static Result<HostId> parse(String text) {
    return DnsLabels.parse(text, "host id", HostId::new);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
