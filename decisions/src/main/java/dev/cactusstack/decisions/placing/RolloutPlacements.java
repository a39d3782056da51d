package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.rollouts.Answer;
import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.decisions.rollouts.RolloutExposure;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Applies the roll-out of a service to the placements of its scheduler.
 *
 * <p>Invariants: without a roll-out it restricts nothing and keeps nothing. Each placement is
 * reported to the roll-out that it was made under, at most once as ended. Confined to one thread.
 */
final class RolloutPlacements {
  private final Map<PlacementKey, OpenPlacement> openPlacements = new HashMap<>();
  private @Nullable Rollout rollout;

  /** Sets the roll-out that is ordered for the service, if any. */
  void update(@Nullable Rollout next) {
    rollout = next;
  }

  /** Returns the upstreams that placements may use, apart from those of {@link #canaries}. */
  Collection<UpstreamLoad> usable(Collection<UpstreamLoad> upstreams) {
    Rollout current = rollout;
    if (current == null) {
      return upstreams;
    }
    boolean hasOldUpstream =
        upstreams.stream()
            .anyMatch(load -> !load.isLeaving() && !current.isNewVersion(load.registration()));
    boolean wantNew = current.versions(hasOldUpstream) == RolloutExposure.Versions.NEW;
    return withVersion(upstreams, current, wantNew);
  }

  /** Returns the upstreams of the new version if a request is to be placed there. */
  Collection<UpstreamLoad> canaries(Collection<UpstreamLoad> upstreams, PlacementRequest request) {
    Rollout current = rollout;
    return current != null && isFirst(request) && current.isNewVersionDue(request.route())
        ? withVersion(upstreams, current, true)
        : List.of();
  }

  private static Collection<UpstreamLoad> withVersion(
      Collection<UpstreamLoad> upstreams, Rollout rollout, boolean isNewVersion) {
    List<UpstreamLoad> selected = new ArrayList<>(upstreams);
    selected.removeIf(load -> rollout.isNewVersion(load.registration()) != isNewVersion);
    return selected;
  }

  private static boolean isFirst(PlacementRequest request) {
    return !request.hedge() && request.excludedUpstreams().isEmpty();
  }

  void recordPlacement(PlacementRequest request, UpstreamLoad load, long nowMs) {
    Rollout current = rollout;
    if (current == null) {
      return;
    }
    boolean isNewVersion = current.isNewVersion(load.registration());
    current.recordPlacement(isNewVersion, isFirst(request));
    openPlacements.put(
        request.key(),
        new OpenPlacement(current, isNewVersion, request.route(), load.isCold(nowMs), nowMs));
  }

  /** Records the end of an attempt, if its placement is open. */
  void recordEnd(AttemptReport attempt, long nowMs) {
    OpenPlacement placement = openPlacements.remove(attempt.key());
    if (placement == null) {
      return;
    }
    if (isConnectionLost(attempt.outcome())) {
      placement.rollout.recordLostConnection(placement.isNewVersion, nowMs);
    }
    Answer.Kind kind = kindOf(attempt.outcome());
    if (kind == null) {
      placement.rollout.recordEnd(placement.isNewVersion);
      return;
    }
    var answer =
        new Answer(
            placement.route,
            kind,
            attempt.durationMs(),
            attempt.load().map(ReportedLoad::slowdown).orElse(1.0),
            placement.cold);
    placement.rollout.recordAnswer(placement.isNewVersion, answer, nowMs);
  }

  private static boolean isConnectionLost(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.BROKEN;
  }

  /** Returns how the end of an attempt counts; null if it says nothing about the version. */
  private static Answer.@Nullable Kind kindOf(AttemptOutcome outcome) {
    return switch (outcome) {
      case ANSWERED -> Answer.Kind.RESPONSE;
      case FAILED, BROKEN -> Answer.Kind.FAILURE;
      case TIMED_OUT -> Answer.Kind.TIMEOUT;
      case ABANDONED -> Answer.Kind.ABANDONED;
      case REFUSED, WRONG_INSTANCE, UNREACHABLE, UNUSED -> null;
    };
  }

  /** Ends a placement of which nothing was sent. */
  void cancel(PlacementKey key) {
    OpenPlacement placement = openPlacements.remove(key);
    if (placement != null) {
      placement.rollout.recordEnd(placement.isNewVersion);
    }
  }

  /** Ends placements that were made before a time. */
  void endPlacedBefore(long cutoffMs) {
    openPlacements
        .values()
        .removeIf(
            placement -> {
              boolean expired = placement.placedAtMs < cutoffMs;
              if (expired) {
                placement.rollout.recordEnd(placement.isNewVersion);
              }
              return expired;
            });
  }

  private record OpenPlacement(
      Rollout rollout, boolean isNewVersion, String route, boolean cold, long placedAtMs) {}
}
