package dev.cactusstack.model.site;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * The registration of an upstream, as announced by the upstream. Immutable and thread-safe.
 *
 * @param id the upstream's id
 * @param service the name of the service that it serves
 * @param address the address at which it accepts requests
 * @param dataCentre the name of its data centre
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it is draining before it leaves
 * @param warmupRemainingMs remaining warm-up time at its last announcement, in milliseconds
 * @param startedAtMs start time of this incarnation, in milliseconds since the epoch; 0 if unknown
 * @param announcement number of this announcement, increasing within the incarnation; 0 if unknown
 * @param version the version of its software; empty if unknown
 */
public record UpstreamRegistration(
    String id,
    String service,
    Address address,
    String dataCentre,
    int slots,
    boolean leaving,
    long warmupRemainingMs,
    long startedAtMs,
    long announcement,
    String version) {
  /** Checks the components. */
  public UpstreamRegistration {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(version, "version is null");
  }

  /**
   * Creates the registration of an upstream whose version is unknown.
   *
   * @param id the upstream's id
   * @param service the name of the service that it serves
   * @param address the address at which it accepts requests
   * @param dataCentre the name of its data centre
   * @param slots number of requests that it processes concurrently
   * @param leaving whether it is draining before it leaves
   * @param warmupRemainingMs remaining warm-up time at its last announcement, in milliseconds
   * @param startedAtMs start time of this incarnation, in milliseconds since the epoch; 0 if
   *     unknown
   * @param announcement number of this announcement; 0 if unknown
   */
  public UpstreamRegistration(
      String id,
      String service,
      Address address,
      String dataCentre,
      int slots,
      boolean leaving,
      long warmupRemainingMs,
      long startedAtMs,
      long announcement) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        warmupRemainingMs,
        startedAtMs,
        announcement,
        "");
  }

  /**
   * Returns the key of the connection pool of this upstream.
   *
   * @return a key that is unique to this combination of id and address
   */
  public String connectionPoolKey() {
    return id + '@' + address;
  }

  /**
   * Returns this registration with another remaining warmup.
   *
   * @param remainingMs the remaining warmup, in milliseconds
   * @return the registration
   */
  public UpstreamRegistration withWarmupRemaining(long remainingMs) {
    return new UpstreamRegistration(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        remainingMs,
        startedAtMs,
        announcement,
        version);
  }

  /**
   * Checks whether another registration describes the same incarnation of this upstream.
   *
   * @param other the other registration
   * @return false if it is another upstream or the upstream has restarted
   */
  public boolean isSameIncarnation(UpstreamRegistration other) {
    return id.equals(other.id) && startedAtMs == other.startedAtMs;
  }
}
