package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.HostId;
import java.util.Objects;

/**
 * The owner of a route as another host reaches it. Immutable and thread-safe.
 *
 * @param host the owner
 * @param callerAddress its address for callers
 * @param roundTripMs the smoothed round trip to it, in milliseconds
 */
public record RemoteHost(HostId host, Address callerAddress, double roundTripMs) {

  /** Checks the components. */
  public RemoteHost {
    Objects.requireNonNull(host, "host is null");
    Objects.requireNonNull(callerAddress, "callers is null");
  }
}
