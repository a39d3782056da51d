package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/** A scheduler's decision on a placement request. Implementations are immutable. */
public sealed interface PlacementDecision {
  /**
   * Returns the placement request that this decision applies to.
   *
   * @return the key of the placement request
   */
  PlacementKey key();

  /**
   * The request can be sent to an upstream now. A slot of the upstream is held until the attempt is
   * reported.
   *
   * @param key the placement request
   * @param upstream the upstream to send the request to
   */
  record Placed(PlacementKey key, UpstreamRegistration upstream) implements PlacementDecision {}

  /**
   * The request cannot be served in time.
   *
   * @param key the placement request
   * @param retryAfterMs time until capacity is likely to be available, in milliseconds
   */
  record Rejected(PlacementKey key, long retryAfterMs) implements PlacementDecision {}

  /**
   * The request is queued for a slot; another decision follows.
   *
   * @param key the placement request
   */
  record Queued(PlacementKey key) implements PlacementDecision {}
}
