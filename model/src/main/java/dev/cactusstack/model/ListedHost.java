package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;

/**
 * An entry of the platform's host list. The list is updated with a delay, so an entry may be
 * outdated.
 *
 * <p>Invariant: an upstream has a service. Immutable and thread-safe.
 *
 * @param role the role of the host
 * @param address an upstream's serving address, or an entry host's link address
 * @param dataCentre the data centre of the host
 * @param service the service of an upstream
 * @param leaving whether the host has been told to leave
 */
public record ListedHost(
    Role role,
    Address address,
    DataCentre dataCentre,
    Optional<ServiceName> service,
    boolean leaving) {

  /** The role of a listed host. */
  public enum Role {
    /** Runs an entry host process. */
    ENTRY,
    /** Serves the requests of a service. */
    UPSTREAM
  }

  /** Checks the components. */
  public ListedHost {
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(service, "service is null");
  }
}
