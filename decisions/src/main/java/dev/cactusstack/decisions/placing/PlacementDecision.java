package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/** What was decided about an ask. Implementations are immutable. */
public sealed interface PlacementDecision {
  /**
   * Returns the ask that this is about.
   *
   * @return its key
   */
  PlacementKey key();

  /**
   * The request may be sent to an upstream now; one of its slots is held until a report.
   *
   * @param key the ask
   * @param upstream where to send the request
   */
  record Placed(PlacementKey key, UpstreamRegistration upstream) implements PlacementDecision {}

  /**
   * The request can't be served in time.
   *
   * @param key the ask
   * @param retryAfterMs when there is likely to be room, in milliseconds from now
   */
  record Rejected(PlacementKey key, long retryAfterMs) implements PlacementDecision {}

  /**
   * The request waits for a slot; a later verdict follows.
   *
   * @param key the ask
   */
  record Queued(PlacementKey key) implements PlacementDecision {}
}
