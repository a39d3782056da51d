package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A scheduler's placements that have not been reported yet.
 *
 * <p>Invariants: a placement holds one slot of the start of the upstream that it was made on, and
 * is counted once against the limit that was known then. What happens to it later applies to no
 * other start. Confined to one thread.
 */
final class OpenPlacements {
  private static final long MAX_SLOT_HOLD_MS = 10_000;

  private final UpstreamPool upstreams;
  private final FairShare fairShare;
  private final RolloutPlacements rolloutPlacements;
  private final Map<PlacementKey, Placement> placements = new HashMap<>();

  OpenPlacements(UpstreamPool upstreams, FairShare fairShare, RolloutPlacements rolloutPlacements) {
    this.upstreams = upstreams;
    this.fairShare = fairShare;
    this.rolloutPlacements = rolloutPlacements;
  }

  /**
   * Places a request on an upstream that takes it now.
   *
   * @param expectedProcessingMs processing time on an undisturbed upstream
   * @param expectedMs time until the response of this upstream
   */
  PlacementDecision place(
      PlacementRequest request,
      UpstreamLoad load,
      double expectedProcessingMs,
      double expectedMs,
      long nowMs) {
    load.holdSlot(request.key(), expectedProcessingMs, nowMs);
    load.limit().count(nowMs);
    Optional<RequestLimit> limit = load.limit().statement(nowMs);
    var placement = new Placement(request, load.registration(), limit, expectedMs, nowMs);
    placements.put(request.key(), placement);
    if (request.hedge()) {
      fairShare.adjust(request.workspace(), expectedMs, nowMs);
    } else {
      fairShare.recordPlaced(request.workspace(), expectedMs, nowMs);
    }
    rolloutPlacements.recordPlacement(request, load, nowMs);
    return placement.decision(load, nowMs);
  }

  /**
   * Returns the decision of a placement again, unless the upstream is used no longer or has
   * restarted since.
   */
  Optional<PlacementDecision> findDecision(PlacementKey key, long nowMs) {
    Placement placement = placements.get(key);
    return placement == null
        ? Optional.empty()
        : upstreams
            .find(placement.upstream.id(), placement.upstream.startedAtMs())
            .map(load -> placement.decision(load, nowMs));
  }

  /**
   * Ends the placement that an attempt was made on.
   *
   * @return the request; empty if the placement is not known any more
   */
  Optional<PlacementRequest> end(AttemptReport attempt, long nowMs) {
    Placement placement = placements.remove(attempt.key());
    rolloutPlacements.recordEnd(attempt, nowMs);
    Optional<UpstreamLoad> load =
        placement == null
            ? upstreams.findUnlessRestarted(attempt.upstreamId(), nowMs)
            : findLoad(placement);
    load.ifPresent(l -> l.recordNotice(attempt.key().hostHash(), attempt.notice(), nowMs));
    if (placement == null) {
      return Optional.empty();
    }
    load.ifPresent(l -> l.recordAttempt(attempt, nowMs));
    placement.correctCharge(fairShare, attempt.outcome(), nowMs);
    if (attempt.outcome() == AttemptOutcome.UNUSED) {
      load.ifPresent(l -> placement.takeOffCount(l, nowMs));
    }
    return Optional.of(placement.request);
  }

  /** Ends a placement of which nothing was sent. */
  void cancel(PlacementKey key, long nowMs) {
    Placement placement = placements.remove(key);
    rolloutPlacements.cancel(key);
    if (placement == null) {
      return;
    }
    placement.correctCharge(fairShare, AttemptOutcome.UNUSED, nowMs);
    findLoad(placement)
        .ifPresent(
            load -> {
              load.releaseSlot(key);
              placement.takeOffCount(load, nowMs);
            });
  }

  /** Ends placements that have been open so long that no report is expected any more. */
  void expire(long nowMs) {
    long cutoffMs = nowMs - MAX_SLOT_HOLD_MS;
    upstreams.releaseSlotsHeldBefore(cutoffMs);
    placements.values().removeIf(placement -> placement.placedAtMs < cutoffMs);
    rolloutPlacements.endPlacedBefore(cutoffMs);
  }

  /** Finds the load that the placement is part of, also while its upstream can't be used. */
  private Optional<UpstreamLoad> findLoad(Placement placement) {
    return upstreams.findAlsoAbsent(placement.upstream.id(), placement.upstream.startedAtMs());
  }

  private record Placement(
      PlacementRequest request,
      UpstreamRegistration upstream,
      Optional<RequestLimit> limit,
      double expectedMs,
      long placedAtMs) {
    /** Returns the decision; it says that it was counted only if it was. */
    PlacementDecision decision(UpstreamLoad load, long nowMs) {
      Optional<RequestLimit> agedLimit = limit.map(said -> said.agedBy(nowMs - placedAtMs));
      return new PlacementDecision.Placed(
          request.key(), load.registration(), agedLimit, Math.max(1, Math.round(expectedMs)));
    }

    /**
     * Charges the workspace with the slot time that was used instead of the expected one. An
     * abandoned attempt costs at least what was expected, because the upstream may go on with it.
     */
    void correctCharge(FairShare fairShare, AttemptOutcome outcome, long nowMs) {
      double heldMs = outcome == AttemptOutcome.UNUSED ? 0 : nowMs - placedAtMs;
      double usedMs = outcome == AttemptOutcome.ABANDONED ? Math.max(heldMs, expectedMs) : heldMs;
      fairShare.adjust(request.workspace(), usedMs - expectedMs, nowMs);
    }

    void takeOffCount(UpstreamLoad load, long nowMs) {
      if (limit.filter(RequestLimit::isLimited).isPresent()) {
        load.limit().takeBack(placedAtMs, nowMs);
      }
    }
  }
}
