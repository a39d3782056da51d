package dev.cactusstack.model.site;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * What an entry host announces of itself. Immutable and thread-safe.
 *
 * @param name the host's name
 * @param dataCentre the name of its data centre
 * @param callers where it accepts callers
 * @param link where it accepts datagrams of other hosts
 * @param milliCores the processor that it has, in thousandths of a core
 * @param incarnation the store's revision of the entry; a higher one is a later start
 */
public record HostEntry(
    String name,
    String dataCentre,
    Address callers,
    Address link,
    int milliCores,
    long incarnation) {
  /** Checks the components. */
  public HostEntry {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(callers, "callers is null");
    Objects.requireNonNull(link, "link is null");
  }
}
