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
public enum PickPolicy {
  /** Takes the upstreams in turn, whatever their room. */
  ROUND_ROBIN {
    @Override
    public OptionalInt pick(List<UpstreamView> views, int turn) {
      return views.isEmpty()
          ? OptionalInt.empty()
          : OptionalInt.of(Math.floorMod(turn, views.size()));
    }
  },

  /** Takes the one with the fewest requests in flight, whatever its room. */
  LEAST_LOADED {
    @Override
    public OptionalInt pick(List<UpstreamView> views, int turn) {
      return lowest(views, turn, v -> v.inFlight());
    }
  },

  /**
   * Takes the one with room that is expected to answer first. A request that is older than its
   * upstream's usual answer time is evidence that the upstream has slowed down, before any answer
   * tells. Failed answers add to the expected time, so failing fast does not attract requests.
   */
  EXPECTED_ANSWER {
    @Override
    public OptionalInt pick(List<UpstreamView> views, int turn) {
      return lowest(views, turn, v -> v.hasRoom() ? expectedMs(v) : Double.POSITIVE_INFINITY);
    }
  };

  private static final double FAILURE_COST_MS = 250;
  private static final double MIN_LATENCY_MS = 0.05;

  /** How much one more request in flight lengthens the others, as a share of the answer time. */
  private static final double CROWDING = 0.15;

  /**
   * Chooses an upstream.
   *
   * @param views the upstreams
   * @param turn a number that grows with each choice; rotates the order among equals
   * @return the index of the choice, or nothing when none can be chosen
   */
  public abstract OptionalInt pick(List<UpstreamView> views, int turn);

  private static double expectedMs(UpstreamView v) {
    double usual = Math.max(MIN_LATENCY_MS, v.latencyMs());
    double now = Math.max(usual, v.oldestMs());
    return now * (1 + CROWDING * v.inFlight()) + v.failureShare() * FAILURE_COST_MS;
  }

  private static OptionalInt lowest(
      List<UpstreamView> views, int turn, ToDoubleFunction<UpstreamView> cost) {
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
