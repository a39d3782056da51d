package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import java.util.Objects;

/**
 * An entry host as callers are told of it. Immutable and thread-safe.
 *
 * @param address its address for callers
 * @param dataCentre where it is
 */
public record EntryEndpoint(Address address, DataCentre dataCentre) {

  /** Checks the components. */
  public EntryEndpoint {
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }
}
