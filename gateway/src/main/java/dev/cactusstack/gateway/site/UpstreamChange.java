package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Map;
import java.util.Optional;

/**
 * A change of upstream registrations as read from the store. Immutable and thread-safe.
 *
 * @param revision the store's revision after this change
 * @param fullSnapshot whether these are all registrations, so that an absent upstream does not
 *     exist
 * @param registrations registrations by upstream identity; empty if removed or not a valid upstream
 */
public record UpstreamChange(
    long revision,
    boolean fullSnapshot,
    Map<String, Optional<UpstreamRegistration>> registrations) {
  /** Copies the components. */
  public UpstreamChange {
    registrations = Map.copyOf(registrations);
  }
}
