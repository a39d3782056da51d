package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A change of upstream registrations as read from the store. Immutable and thread-safe.
 *
 * @param revision the store's revision after this change
 * @param fullSnapshot whether these are all registrations, so that an absent upstream does not
 *     exist
 * @param registrations registrations by upstream identity; empty if removed or not a valid upstream
 * @param otherRevisions revisions since the previous read at which none of these registrations
 *     changed, so that something else in the store did
 */
public record UpstreamChange(
    long revision,
    boolean fullSnapshot,
    Map<String, Optional<UpstreamRegistration>> registrations,
    List<Long> otherRevisions) {
  /** Copies the components. */
  public UpstreamChange {
    registrations = Map.copyOf(registrations);
    otherRevisions = List.copyOf(otherRevisions);
  }
}
