package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.HostId;
import java.util.Objects;

/**
 * The owner of a route as another host reaches it. Immutable and thread-safe.
 *
 * @param host the owner
 * @param callers its address for callers
 * @param roundTripMs the smoothed round trip to it, in milliseconds
 */
public record Hop(HostId host, Address callers, double roundTripMs) {

  /** Checks the components. */
  public Hop {
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(callers, "callers is null");
  }
}
