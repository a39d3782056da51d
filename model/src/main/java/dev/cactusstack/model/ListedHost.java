package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;

/**
 * An entry of the platform's host list, which lags behind the truth.
 *
 * <p>Invariant: an upstream names its service. Immutable and thread-safe.
 *
 * @param role what the host does
 * @param address an upstream's serving address, or an entry host's link address
 * @param dataCentre where it is
 * @param service the service of an upstream
 * @param leaving whether it has been told to leave
 */
public record ListedHost(
    Role role,
    Address address,
    DataCentre dataCentre,
    Optional<ServiceName> service,
    boolean leaving) {

  /** What a listed host does. */
  public enum Role {
    /** Runs an entry host process. */
    ENTRY,
    /** Serves a service. */
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
