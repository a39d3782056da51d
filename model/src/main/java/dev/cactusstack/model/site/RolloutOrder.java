package dev.cactusstack.model.site;

import java.util.Objects;

/**
 * An operator's order to move the traffic of a service to upstreams of another version. Immutable
 * and thread-safe.
 *
 * @param service the service's name
 * @param version the version to move to
 * @param durationMs time from the order within which the roll-out has to end, in milliseconds
 * @param revision the store's revision of the order, which tells orders of the same version apart
 */
public record RolloutOrder(String service, String version, long durationMs, long revision) {
  /** Checks the components. */
  public RolloutOrder {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(version, "version is null");
  }
}
