package dev.cactusstack.model.site;

import dev.cactusstack.model.Address;
import java.util.Objects;

/**
 * What an upstream announces of itself. Immutable and thread-safe.
 *
 * @param id the upstream's identity
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre the name of its data centre
 * @param slots requests that it runs at the same time
 * @param leaving whether it has begun to leave
 * @param warmupRemainingMs how much longer it is cold, in milliseconds, when it last announced itself
 * @param startedAtMs when this incarnation started, in milliseconds since the epoch, 0 if not told
 */
public record UpstreamRegistration(
    String id,
    String service,
    Address address,
    String dataCentre,
    int slots,
    boolean leaving,
    long warmupRemainingMs,
    long startedAtMs) {
  /** Checks the components. */
  public UpstreamRegistration {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(address, "address is null");
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Names the connections to this upstream.
   *
   * @return a name that no upstream at another address, and no other at this one, has
   */
  public String connectionPoolKey() {
    return id + '@' + address;
  }

  /**
   * Tells whether an older entry describes the same incarnation.
   *
   * @param o the older entry
   * @return true unless the upstream has started again since
   */
  public boolean isSameIncarnation(UpstreamRegistration o) {
    return id.equals(o.id) && startedAtMs == o.startedAtMs;
  }
}
