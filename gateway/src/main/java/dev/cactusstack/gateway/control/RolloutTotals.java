package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.model.site.RolloutState;

/** Sums over roll-outs, for metrics. Immutable and thread-safe. */
record RolloutTotals(
    long orders,
    long succeeded,
    long rolledBack,
    long placements,
    long newPlacements,
    long oldBadAnswers,
    long newBadAnswers) {
  static final RolloutTotals NONE = new RolloutTotals(0, 0, 0, 0, 0, 0, 0);

  static RolloutTotals of(Rollout rollout) {
    return new RolloutTotals(
        1,
        rollout.state() == RolloutState.SUCCEEDED ? 1 : 0,
        rollout.state() == RolloutState.ROLLED_BACK ? 1 : 0,
        rollout.exposure().placements(),
        rollout.exposure().newPlacements(),
        rollout.judge().badAnswers(false),
        rollout.judge().badAnswers(true));
  }

  RolloutTotals plus(RolloutTotals other) {
    return new RolloutTotals(
        orders + other.orders,
        succeeded + other.succeeded,
        rolledBack + other.rolledBack,
        placements + other.placements,
        newPlacements + other.newPlacements,
        oldBadAnswers + other.oldBadAnswers,
        newBadAnswers + other.newBadAnswers);
  }
}
