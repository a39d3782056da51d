package dev.cactusstack.decisions.routing;

import java.util.List;
import java.util.OptionalInt;

/**
 * Chooses by the expected time of the answer.
 *
 * <p>A request that is older than its upstream's usual answer time is evidence that the upstream
 * has slowed down, before any answer tells. An upstream that is slow compared with the others is
 * used only when waiting for a quick one would take longer. Its estimate fades while it is quiet,
 * so that it gets one trial request after a while. Failed answers add to the expected time, so
 * failing fast does not attract requests. Stateless and thread-safe.
 */
final class ExpectedAnswer {
  private static final double FAILURE_COST_MS = 250;

  /** How much one more request in flight lengthens the others, as a share of the answer time. */
  private static final double CROWDING = 0.15;

  private static final double FADE_HALF_LIFE_MS = 150;

  private ExpectedAnswer() {}

  static OptionalInt pick(List<UpstreamView> views, int turn, int waiting) {
    GroupOutlook outlook = GroupOutlook.of(views);
    double usual = outlook.usualMs();
    OptionalInt choice =
        PickPolicy.lowest(
            views, turn, v -> mayTake(v, usual) ? expectedMs(v, usual) : Double.POSITIVE_INFINITY);
    if (choice.isEmpty()) {
      return choice;
    }
    double expected = expectedMs(views.get(choice.getAsInt()), usual);
    boolean slow = expected > GroupOutlook.SLOW_RATIO * usual;
    return slow && expected > usual + outlook.waitMs(waiting) ? OptionalInt.empty() : choice;
  }

  private static boolean mayTake(UpstreamView v, double usual) {
    boolean onTrial = v.latencyMs() > GroupOutlook.SLOW_RATIO * usual;
    return v.hasRoom() && (!onTrial || v.inFlight() == 0);
  }

  private static double expectedMs(UpstreamView v, double usual) {
    double estimate = GroupOutlook.estimateMs(v);
    double faded =
        estimate <= usual
            ? estimate
            : usual + (estimate - usual) * Math.pow(0.5, v.quietMs() / FADE_HALF_LIFE_MS);
    double now = Math.max(faded, v.oldestMs());
    return now * (1 + CROWDING * v.inFlight()) + v.failureShare() * FAILURE_COST_MS;
  }
}
