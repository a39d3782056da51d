package dev.cactusstack.model.site;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * What an entry host announces of itself. Immutable and thread-safe.
 *
 * @param name the host's name
 * @param dataCentre the name of its data centre
 * @param callerAddress where it accepts callers
 * @param linkAddress where it accepts datagrams of other hosts
 * @param milliCores the processor that it has, in thousandths of a core
 * @param incarnation the store's revision of the entry; a higher one is a later start
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
