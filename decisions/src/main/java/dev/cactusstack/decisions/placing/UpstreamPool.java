package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The upstreams of one service as its scheduler sees them, and the choice among them.
 *
 * <p>Invariants: an upstream that has no free slot, that takes no requests of the host or that has
 * reached its limit is never chosen. An upstream that can't be used for a while, because its data
 * centre is evacuated or its registration is missing, comes back with the slots and counts that it
 * had. Confined to one thread.
 */
final class UpstreamPool {
  private static final long LOAD_FRESHNESS_MS = 150;
  private static final double MEAN_SLOWDOWN_SMOOTHING = 0.05;
  private static final double MS_PER_SECOND = 1_000;
  private static final double MAX_SERVICE_INTERVAL_MS = 60_000;

  /** Longer than a slot is held and a count of placements matters, in milliseconds. */
  static final long ABSENT_RETENTION_MS = 10_000;

  /** Costs that differ by less are considered equal. */
  private static final double EQUAL_COST_MS = 2;

  private final SchedulerSettings settings;
  private final RandomGenerator random;
  private final ResponseTimeEstimator responseTimeEstimator;
  private final RolloutPlacements rolloutPlacements;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<String, AbsentUpstream> absent = new HashMap<>();
  private final UpstreamStarts starts = new UpstreamStarts();
  private double meanSlowdown = 1.3;
  private int warmupLimit;
  private double limitShare;

  UpstreamPool(
      SchedulerSettings settings,
      RandomGenerator random,
      ResponseTimeEstimator responseTimeEstimator,
      RolloutPlacements rolloutPlacements) {
    this.settings = settings;
    this.random = random;
    this.responseTimeEstimator = responseTimeEstimator;
    this.rolloutPlacements = rolloutPlacements;
  }

  /** Replaces the set of upstreams that can receive requests. */
  void update(
      ServiceSettings serviceSettings, Collection<UpstreamRegistration> usable, long nowMs) {
    warmupLimit = settings.warmupRequestLimit(serviceSettings.warmupRequestsPerSecond());
    Map<String, UpstreamLoad> nextLoads = new HashMap<>();
    for (UpstreamRegistration usableUpstream : usable) {
      UpstreamLoad load = findOrCreate(usableUpstream, nowMs);
      load.updateRegistration(usableUpstream, nowMs);
      load.limit().updateShare(limitShare, nowMs);
      nextLoads.put(usableUpstream.id(), load);
      starts.recordUse(usableUpstream, nowMs);
    }
    starts.forgetUnused(nowMs);
    keepAbsent(nextLoads, nowMs);
    loads.clear();
    loads.putAll(nextLoads);
  }

  private UpstreamLoad findOrCreate(UpstreamRegistration usable, long nowMs) {
    UpstreamLoad present = loads.get(usable.id());
    if (present != null) {
      return present;
    }
    AbsentUpstream returned = absent.remove(usable.id());
    return returned != null && nowMs - returned.sinceMs <= ABSENT_RETENTION_MS
        ? returned.load
        : new UpstreamLoad(usable, nowMs);
  }

  /** Keeps the upstreams that are used no longer, in case that they come back soon. */
  private void keepAbsent(Map<String, UpstreamLoad> nextLoads, long nowMs) {
    absent.values().removeIf(upstream -> nowMs - upstream.sinceMs > ABSENT_RETENTION_MS);
    loads.forEach(
        (id, load) -> {
          if (!nextLoads.containsKey(id)) {
            absent.put(id, new AbsentUpstream(load, nowMs));
          }
        });
  }

  /** Sets the share of the upstreams' limits that this scheduler may use. */
  void updateLimitShare(double share, long nowMs) {
    if (share == limitShare) {
      return;
    }
    limitShare = share;
    loads.values().forEach(upstream -> upstream.limit().updateShare(share, nowMs));
  }

  /** Finds an upstream, whichever start of it is in use. */
  Optional<UpstreamLoad> find(String upstreamId) {
    return Optional.ofNullable(loads.get(upstreamId));
  }

  /** Finds an upstream if a given start of it is in use. */
  Optional<UpstreamLoad> find(String upstreamId, long startedAtMs) {
    return find(upstreamId).filter(upstream -> isStart(upstream, startedAtMs));
  }

  /** Finds an upstream if a given start of it is in use or was lately. */
  Optional<UpstreamLoad> findAlsoAbsent(String upstreamId, long startedAtMs) {
    return find(upstreamId)
        .or(() -> Optional.ofNullable(absent.get(upstreamId)).map(AbsentUpstream::load))
        .filter(upstream -> isStart(upstream, startedAtMs));
  }

  private static boolean isStart(UpstreamLoad upstream, long startedAtMs) {
    return upstream.registration().startedAtMs() == startedAtMs;
  }

  /** Finds an upstream if no other start of it has been in use lately. */
  Optional<UpstreamLoad> findUnlessRestarted(String upstreamId, long nowMs) {
    return find(upstreamId).filter(upstream -> !starts.isRestarted(upstreamId, nowMs));
  }

  /** Releases slots that have been held so long that no report is expected any more. */
  void releaseSlotsHeldBefore(long cutoffMs) {
    loads.values().forEach(upstream -> upstream.releaseSlotsHeldBefore(cutoffMs));
    absent.values().forEach(upstream -> upstream.load.releaseSlotsHeldBefore(cutoffMs));
  }

  void updateMeanSlowdown(ReportedLoad reportedLoad) {
    meanSlowdown += (reportedLoad.slowdown() - meanSlowdown) * MEAN_SLOWDOWN_SMOOTHING;
  }

  /**
   * Returns the time until the first upstream takes a request if it has a free slot by then, in
   * milliseconds; infinite if none will.
   */
  double timeUntilTakenMs(PlacementRequest request, long nowMs) {
    double firstMs = Double.POSITIVE_INFINITY;
    for (UpstreamLoad upstream : usable()) {
      double takenMs = timeUntilTakenMs(upstream, request, nowMs);
      if (takenMs == 0) {
        return 0;
      }
      firstMs = Math.min(firstMs, takenMs);
    }
    return firstMs;
  }

  private static double timeUntilTakenMs(
      UpstreamLoad upstream, PlacementRequest request, long nowMs) {
    if (upstream.isLeaving()
        || request.excludedUpstreams().contains(upstream.registration().id())) {
      return Double.POSITIVE_INFINITY;
    }
    return Math.max(
        upstream.heldOffMs(request.key().hostHash(), nowMs),
        upstream.limit().timeUntilAllowedMs(nowMs));
  }

  /** Returns the upstreams that a roll-out allows; all of them if there is none. */
  private Collection<UpstreamLoad> usable() {
    return rolloutPlacements.usable(loads.values());
  }

  /** Finds the best upstream of the version that is rolled out, if a request is due there. */
  Optional<UpstreamLoad> findBestCanary(PlacementRequest request, long nowMs) {
    return findBest(rolloutPlacements.canaries(loads.values(), request), request, nowMs);
  }

  /** Finds the upstream on which a request is served best now. */
  Optional<UpstreamLoad> findBest(PlacementRequest request, long nowMs) {
    return findBest(usable(), request, nowMs);
  }

  private Optional<UpstreamLoad> findBest(
      Collection<UpstreamLoad> upstreams, PlacementRequest request, long nowMs) {
    List<UpstreamLoad> cheapest = new ArrayList<>();
    double lowestCostMs = Double.MAX_VALUE;
    boolean allBackingOff = upstreams.stream().allMatch(upstream -> upstream.isBackingOff(nowMs));
    for (UpstreamLoad upstream : upstreams) {
      if (!isEligible(upstream, request, allBackingOff, nowMs)) {
        continue;
      }
      double costMs = responseTimeEstimator.costMs(upstream, request, meanSlowdown, nowMs);
      if (costMs < lowestCostMs - EQUAL_COST_MS) {
        cheapest.clear();
      }
      if (costMs < lowestCostMs + EQUAL_COST_MS) {
        cheapest.add(upstream);
      }
      lowestCostMs = Math.min(lowestCostMs, costMs);
    }
    return cheapest.isEmpty()
        ? Optional.empty()
        : Optional.of(cheapest.get(random.nextInt(cheapest.size())));
  }

  private boolean isEligible(
      UpstreamLoad upstream, PlacementRequest request, boolean allBackingOff, long nowMs) {
    if (!upstream.hasFreeSlot(nowMs) || timeUntilTakenMs(upstream, request, nowMs) > 0) {
      return false;
    }
    if (upstream.isCold(nowMs) && !upstream.warmupRateAllows(warmupLimit, nowMs)) {
      return false;
    }
    if (allBackingOff) {
      return true;
    }
    return !upstream.isBackingOff(nowMs) && (!upstream.isOnTrial() || upstream.isIdle());
  }

  /** Returns the time until the response if a request is sent to an upstream now. */
  double responseMs(UpstreamLoad upstream, PlacementRequest request, long nowMs) {
    return responseTimeEstimator.responseMs(upstream, request, meanSlowdown, nowMs);
  }

  /** Returns the interval at which the upstreams can take requests like this one. */
  double serviceIntervalMs(PlacementRequest request) {
    double slotMs = responseTimeEstimator.processingMs(request) * meanSlowdown;
    Collection<UpstreamLoad> usable = usable();
    if (usable.isEmpty()) {
      return slotMs;
    }
    double requestsPerMs = 0;
    for (UpstreamLoad upstream : usable) {
      double allowedPerMs = upstream.limit().requestsPerSecond() / MS_PER_SECOND;
      requestsPerMs += Math.min(upstream.registration().slots() / slotMs, allowedPerMs);
    }
    return Math.min(MAX_SERVICE_INTERVAL_MS, 1 / requestsPerMs);
  }

  /**
   * Selects upstreams to probe: those with free slots and no recent load report, as long as fewer
   * upstreams are known to be good than requests are expected until the next report arrives.
   */
  List<UpstreamRegistration> selectProbeTargets(double requestsPerMs, long nowMs) {
    List<UpstreamLoad> stale = new ArrayList<>();
    int good = 0;
    for (UpstreamLoad upstream : usable()) {
      if (upstream.isKnownGood(LOAD_FRESHNESS_MS, nowMs) && upstream.hasFreeSlot(nowMs)) {
        good++;
      } else if (isProbeUseful(upstream, nowMs)) {
        stale.add(upstream);
      }
    }
    int wanted = (int) Math.ceil(requestsPerMs * LOAD_FRESHNESS_MS) - good;
    stale.sort(Comparator.comparingLong(upstream -> -upstream.slowdownAgeMs(nowMs)));
    List<UpstreamRegistration> targets = new ArrayList<>();
    for (UpstreamLoad upstream : stale.subList(0, Math.max(0, Math.min(wanted, stale.size())))) {
      upstream.recordProbeSent(nowMs);
      targets.add(upstream.registration());
    }
    return targets;
  }

  private static boolean isProbeUseful(UpstreamLoad upstream, long nowMs) {
    return upstream.slowdownAgeMs(nowMs) >= LOAD_FRESHNESS_MS
        && upstream.probeAgeMs(nowMs) >= LOAD_FRESHNESS_MS
        && upstream.hasFreeSlot(nowMs)
        && !upstream.isLeaving()
        && !upstream.limit().isLimited()
        && !upstream.isBackingOff(nowMs)
        && !upstream.isCold(nowMs);
  }

  /** Describes an upstream for a log line. */
  Optional<String> describe(String upstreamId, long nowMs) {
    return find(upstreamId).map(upstream -> upstream.describe(meanSlowdown, nowMs));
  }

  /**
   * An upstream that is used no longer.
   *
   * @param load what was known of it
   * @param sinceMs when it was last removed
   */
  private record AbsentUpstream(UpstreamLoad load, long sinceMs) {}
}
