package dev.cactusstack.decisions.routing;

import java.util.List;
import java.util.OptionalInt;

/**
 * Chooses by the expected time of the answer.
 *
 * <p>A request that is older than its upstream's usual answer time is evidence that the upstream
 * has slowed down, before any answer tells. An upstream that is slow compared with the others is
 * used only when no quick one has room and waiting for one would take longer. Its estimate fades
 * while it is quiet, so that it gets one trial request after a while.
 *
 * <p>Invariant: when a quick upstream has room, one is chosen; when there is no quick upstream at
 * all, a waiting request gets any upstream with room. So a request never waits for nothing.
 * Stateless and thread-safe.
 */
final class LeastExpectedLatency {
  /** How much one more request in flight lengthens the others, as a share of the answer time. */
  private static final double CROWDING = 0.15;

  private static final double FADE_HALF_LIFE_MS = 150;

  private LeastExpectedLatency() {}

  static OptionalInt pick(List<UpstreamSnapshot> views, GroupStatistics outlook, int turn, int waiting) {
    double usual = outlook.typicalCostMs();
    OptionalInt quick =
        LoadBalancingPolicy.lowest(
            views,
            turn,
            v ->
                v.hasCapacity() && !GroupStatistics.isSlow(v, usual)
                    ? expectedMs(v, usual) * (1 + CROWDING * v.inFlight())
                    : Double.POSITIVE_INFINITY);
    return quick.isPresent() ? quick : slow(views, turn, waiting, outlook);
  }

  private static OptionalInt slow(
      List<UpstreamSnapshot> views, int turn, int waiting, GroupStatistics outlook) {
    double usual = outlook.typicalCostMs();
    OptionalInt choice =
        LoadBalancingPolicy.lowest(
            views, turn, v -> mayTry(v, usual) ? expectedMs(v, usual) : Double.POSITIVE_INFINITY);
    if (choice.isEmpty()) {
      return choice;
    }
    double expected = expectedMs(views.get(choice.getAsInt()), usual);
    boolean recovered = expected <= GroupStatistics.SLOW_RATIO * usual;
    return recovered || expected <= usual + outlook.estimatedWaitMs(waiting) ? choice : OptionalInt.empty();
  }

  /** One that was slow gets one request at a time until it answers well. */
  private static boolean mayTry(UpstreamSnapshot v, double usual) {
    boolean onTrial = v.costMs() > GroupStatistics.SLOW_RATIO * usual;
    return v.hasCapacity() && (!onTrial || v.inFlight() == 0);
  }

  private static double expectedMs(UpstreamSnapshot v, double usual) {
    double cost = v.costMs();
    double faded =
        cost <= usual
            ? cost
            : usual + (cost - usual) * Math.pow(0.5, v.idleMs() / FADE_HALF_LIFE_MS);
    return Math.max(faded, v.oldestRequestAgeMs());
  }
}
