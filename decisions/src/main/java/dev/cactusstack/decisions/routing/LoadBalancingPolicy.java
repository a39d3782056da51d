package dev.cactusstack.decisions.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.function.ToDoubleFunction;

/**
 * Ways to choose an upstream among those with room. Stateless and thread-safe.
 *
 * <p>{@link #ROUND_ROBIN} and {@link #LEAST_LOADED} are baselines for experiments.
 */
public enum LoadBalancingPolicy {
  /** Takes the upstreams in turn, whatever their room. */
  ROUND_ROBIN {
    @Override
    public OptionalInt pick(List<UpstreamSnapshot> views, GroupStatistics outlook, int turn, int waiting) {
      return views.isEmpty()
          ? OptionalInt.empty()
          : OptionalInt.of(Math.floorMod(turn, views.size()));
    }
  },

  /** Takes the one with the fewest requests in flight, whatever its room. */
  LEAST_LOADED {
    @Override
    public OptionalInt pick(List<UpstreamSnapshot> views, GroupStatistics outlook, int turn, int waiting) {
      return lowest(views, turn, v -> v.inFlight());
    }
  },

  /**
   * Takes the one with room that is expected to answer first, or none when waiting for another is
   * expected to be quicker; see {@link LeastExpectedLatency}.
   */
  LEAST_EXPECTED_LATENCY {
    @Override
    public OptionalInt pick(List<UpstreamSnapshot> views, GroupStatistics outlook, int turn, int waiting) {
      return LeastExpectedLatency.pick(views, outlook, turn, waiting);
    }
  };

  /**
   * Chooses an upstream.
   *
   * @param views the upstreams
   * @param turn a number that grows with each choice; rotates the order among equals
   * @param waiting requests that wait for this choice's outcome, the next one included
   * @return the index of the choice, or nothing when none can be chosen
   */
  public OptionalInt pick(List<UpstreamSnapshot> views, int turn, int waiting) {
    return pick(views, GroupStatistics.of(views), turn, waiting);
  }

  /**
   * Chooses an upstream, for a caller that has computed the outlook.
   *
   * @param views the upstreams
   * @param outlook the outlook of {@code views}
   * @param turn a number that grows with each choice; rotates the order among equals
   * @param waiting requests that wait for this choice's outcome, the next one included
   * @return the index of the choice, or nothing when none can be chosen
   */
  public abstract OptionalInt pick(
      List<UpstreamSnapshot> views, GroupStatistics outlook, int turn, int waiting);

  static OptionalInt lowest(
      List<UpstreamSnapshot> views, int turn, ToDoubleFunction<UpstreamSnapshot> cost) {
    Objects.requireNonNull(views, "views is null");
    int best = -1;
    double lowest = Double.POSITIVE_INFINITY;
    for (int i = 0; i < views.size(); i++) {
      int at = Math.floorMod(turn + i, views.size());
      double c = cost.applyAsDouble(views.get(at));
      if (c < lowest) {
        lowest = c;
        best = at;
      }
    }
    return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
  }
}
