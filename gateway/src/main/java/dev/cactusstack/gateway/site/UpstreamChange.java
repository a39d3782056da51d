package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Map;
import java.util.Optional;

/**
 * What the store says of upstreams. Immutable and thread-safe.
 *
 * @param revision the store's revision that this brings up to
 * @param fullSnapshot whether this is everything, so that what isn't named isn't there
 * @param registrations entries by identity; empty ones name no upstream
 */
public record UpstreamChange(
    long revision, boolean fullSnapshot, Map<String, Optional<UpstreamRegistration>> registrations) {
  /** Copies the components. */
  public UpstreamChange {
    registrations = Map.copyOf(registrations);
  }
}
