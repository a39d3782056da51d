package dev.cactusstack.decisions.routing;

import java.util.List;
import java.util.OptionalInt;

/**
 * Picks the upstream with the least expected latency.
 *
 * <p>A request that is older than the usual response time of its upstream indicates that the
 * upstream has slowed down, before any response shows it. An upstream that is slow compared with
 * the others is used only if no fast one has capacity and waiting for one would take longer. Its
 * cost estimate decays while it is idle, so that after some time it receives one trial request.
 *
 * <p>Invariant: if a fast upstream has capacity, one is picked; if there is no fast upstream at
 * all, a waiting request gets any upstream with capacity. So a request never waits when no other
 * request is in flight. Stateless and thread-safe.
 */
final class LeastExpectedLatency {
  /** Relative increase of the response time for each further request in flight. */
  private static final double ADDED_LATENCY_PER_REQUEST = 0.15;

  private static final double COST_HALF_LIFE_MS = 150;

  private LeastExpectedLatency() {}

  static OptionalInt pick(
      List<UpstreamSnapshot> upstreams,
      GroupStatistics statistics,
      int rotation,
      int waitingRequests) {
    double typicalMs = statistics.typicalCostMs();
    OptionalInt fast =
        LoadBalancingPolicy.indexOfLowestCost(
            upstreams,
            rotation,
            u ->
                u.hasCapacity() && !GroupStatistics.isSlow(u, typicalMs)
                    ? expectedCostMs(u, typicalMs) * (1 + ADDED_LATENCY_PER_REQUEST * u.inFlight())
                    : Double.POSITIVE_INFINITY);
    return fast.isPresent() ? fast : pickSlow(upstreams, rotation, waitingRequests, statistics);
  }

  private static OptionalInt pickSlow(
      List<UpstreamSnapshot> upstreams,
      int rotation,
      int waitingRequests,
      GroupStatistics statistics) {
    double typicalMs = statistics.typicalCostMs();
    OptionalInt candidate =
        LoadBalancingPolicy.indexOfLowestCost(
            upstreams,
            rotation,
            u ->
                isEligible(u, typicalMs) ? expectedCostMs(u, typicalMs) : Double.POSITIVE_INFINITY);
    if (candidate.isEmpty()) {
      return candidate;
    }
    double expectedMs = expectedCostMs(upstreams.get(candidate.getAsInt()), typicalMs);
    boolean hasRecovered = expectedMs <= GroupStatistics.SLOW_RATIO * typicalMs;
    return hasRecovered || expectedMs <= typicalMs + statistics.estimatedWaitMs(waitingRequests)
        ? candidate
        : OptionalInt.empty();
  }

  /**
   * An upstream that was slow gets one request at a time until past responses no longer show it as
   * slow.
   */
  private static boolean isEligible(UpstreamSnapshot upstream, double typicalMs) {
    boolean isOnTrial = upstream.costMs() > GroupStatistics.SLOW_RATIO * typicalMs;
    return upstream.hasCapacity() && (!isOnTrial || upstream.inFlight() == 0);
  }

  private static double expectedCostMs(UpstreamSnapshot upstream, double typicalMs) {
    double pastCostMs = upstream.costMs();
    double decayedMs =
        pastCostMs <= typicalMs
            ? pastCostMs
            : typicalMs
                + (pastCostMs - typicalMs) * Math.pow(0.5, upstream.idleMs() / COST_HALF_LIFE_MS);
    return Math.max(decayedMs, upstream.oldestRequestAgeMs());
  }
}
