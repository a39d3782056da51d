package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.Optional;

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
   * @param limit what the scheduler knows of the upstream's limit; if it is limited, the placement
   *     was counted against the limit
   * @param expectedMs the time until the response that the scheduler expects, in milliseconds; 0 if
   *     it is not known
   */
  record Placed(
      PlacementKey key,
      UpstreamRegistration upstream,
      Optional<RequestLimit> limit,
      long expectedMs)
      implements PlacementDecision {
    /**
     * Creates a placement with an unknown response time.
     *
     * @param key the placement request
     * @param upstream the upstream to send the request to
     * @param limit what the scheduler knows of the upstream's limit
     */
    public Placed(PlacementKey key, UpstreamRegistration upstream, Optional<RequestLimit> limit) {
      this(key, upstream, limit, 0);
    }

    /**
     * Creates a placement on an upstream that has named no limit.
     *
     * @param key the placement request
     * @param upstream the upstream to send the request to
     */
    public Placed(PlacementKey key, UpstreamRegistration upstream) {
      this(key, upstream, Optional.empty());
    }

    /**
     * Checks whether the placement was counted against a limit of the upstream.
     *
     * @return false if the scheduler knew of no limit
     */
    public boolean isCounted() {
      return limit.isPresent() && limit.get().isLimited();
    }
  }

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
