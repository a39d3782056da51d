package dev.cactusstack.model.site;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * The registration of an entry host, as announced by the host. Immutable and thread-safe.
 *
 * @param name the host's name
 * @param dataCentre the name of its data centre
 * @param callerAddress the address at which it accepts requests of callers
 * @param linkAddress the address at which it receives datagrams of other hosts
 * @param milliCores its CPU capacity, in thousandths of a core
 * @param incarnation the store's era and revision of the registration; a higher one belongs to a
 *     later start
 */
public record HostRegistration(
    String name,
    String dataCentre,
    Address callerAddress,
    Address linkAddress,
    int milliCores,
    long incarnation) {
  /** Checks the components. */
  public HostRegistration {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(callerAddress, "callers is null");
    Objects.requireNonNull(linkAddress, "link is null");
  }
}
