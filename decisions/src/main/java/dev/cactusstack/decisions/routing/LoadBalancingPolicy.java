package dev.cactusstack.decisions.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.function.ToDoubleFunction;

/**
 * Load balancing policies, which pick an upstream for a request. Stateless and thread-safe.
 *
 * <p>{@link #ROUND_ROBIN} and {@link #LEAST_LOADED} are baselines for experiments.
 */
public enum LoadBalancingPolicy {
  /** Picks the upstreams in turn, regardless of their capacity. */
  ROUND_ROBIN {
    @Override
    public OptionalInt pick(
        List<UpstreamSnapshot> upstreams,
        GroupStatistics statistics,
        int rotation,
        int waitingRequests) {
      return upstreams.isEmpty()
          ? OptionalInt.empty()
          : OptionalInt.of(Math.floorMod(rotation, upstreams.size()));
    }
  },

  /** Picks the upstream with the fewest requests in flight, regardless of its capacity. */
  LEAST_LOADED {
    @Override
    public OptionalInt pick(
        List<UpstreamSnapshot> upstreams,
        GroupStatistics statistics,
        int rotation,
        int waitingRequests) {
      return indexOfLowestCost(upstreams, rotation, v -> v.inFlight());
    }
  },

  /**
   * Picks the upstream with capacity that is expected to respond first, or none if waiting for
   * another one is expected to be faster; see {@link LeastExpectedLatency}.
   */
  LEAST_EXPECTED_LATENCY {
    @Override
    public OptionalInt pick(
        List<UpstreamSnapshot> upstreams,
        GroupStatistics statistics,
        int rotation,
        int waitingRequests) {
      return LeastExpectedLatency.pick(upstreams, statistics, rotation, waitingRequests);
    }
  };

  /**
   * Picks an upstream.
   *
   * @param upstreams the upstreams
   * @param rotation a number that grows with each pick; rotates the order of equal upstreams
   * @param waitingRequests number of waiting requests, including the one to be sent next
   * @return the index of the picked upstream, or empty if none is to be used now
   */
  public OptionalInt pick(List<UpstreamSnapshot> upstreams, int rotation, int waitingRequests) {
    return pick(upstreams, GroupStatistics.of(upstreams), rotation, waitingRequests);
  }

  /**
   * Picks an upstream, using statistics that have already been computed.
   *
   * @param upstreams the upstreams
   * @param statistics the statistics of {@code upstreams}
   * @param rotation a number that grows with each pick; rotates the order of equal upstreams
   * @param waitingRequests number of waiting requests, including the one to be sent next
   * @return the index of the picked upstream, or empty if none is to be used now
   */
  public abstract OptionalInt pick(
      List<UpstreamSnapshot> upstreams,
      GroupStatistics statistics,
      int rotation,
      int waitingRequests);

  static OptionalInt indexOfLowestCost(
      List<UpstreamSnapshot> upstreams, int rotation, ToDoubleFunction<UpstreamSnapshot> cost) {
    Objects.requireNonNull(upstreams, "upstreams is null");
    int best = -1;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < upstreams.size(); i++) {
      int index = Math.floorMod(rotation + i, upstreams.size());
      double candidateCost = cost.applyAsDouble(upstreams.get(index));
      if (candidateCost < lowestCost) {
        lowestCost = candidateCost;
        best = index;
      }
    }
    return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
  }
}
