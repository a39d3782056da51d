package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.retries.ExpectationError;
import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.decisions.retries.HedgeDelay;
import java.util.Optional;

/**
 * The limit on the hedges of this host, if the settings have one, and the time of hedges. Without a
 * limit, every hedge is allowed here and only the retry budget limits them. Confined to the event
 * loop.
 */
final class HedgeLimit {
  private final Optional<HedgeBudget> budget;
  private final ExpectationError expectationError = new ExpectationError();

  HedgeLimit(Optional<HedgeBudget> budget) {
    this.budget = budget;
  }

  /** Checks whether the other copies of a request are cancelled when one has answered. */
  boolean cancelsOtherCopies() {
    return budget.isPresent();
  }

  /**
   * Returns the time with which a hedge is counted. Schedulers learn processing times only from
   * upstreams that report their load; without a correction by the responses that this host has
   * seen, hedges to the others would be counted with a share of the latency objective.
   *
   * @param expectedMs the time until the response that the scheduler expects
   */
  double countedMs(double expectedMs) {
    return expectationError.usualMs(expectedMs);
  }

  void recordRequest(long nowMs) {
    budget.ifPresent(limit -> limit.recordRequest(nowMs));
  }

  /** Checks whether a hedge is allowed, without counting it. */
  HedgeBudget.Decision check(double expectedMs, long nowMs) {
    return budget.map(limit -> limit.check(expectedMs, nowMs)).orElse(HedgeBudget.Decision.ALLOWED);
  }

  /** Counts a hedge if it is allowed. */
  HedgeBudget.Decision tryAcquire(double expectedMs, long nowMs) {
    return budget
        .map(limit -> limit.tryAcquire(expectedMs, nowMs))
        .orElse(HedgeBudget.Decision.ALLOWED);
  }

  void giveBack(double expectedMs) {
    budget.ifPresent(limit -> limit.giveBack(expectedMs));
  }

  /**
   * Records the time that an upstream spent on an attempt that has ended or was cancelled.
   *
   * @param expectedMs the time that the scheduler expected or, of a hedge, with which it was
   *     counted
   */
  void recordEnd(boolean hedge, double expectedMs, long tookMs, long nowMs) {
    if (hedge) {
      budget.ifPresent(limit -> limit.recordHedgeEnd(expectedMs, tookMs));
      return;
    }
    budget.ifPresent(limit -> limit.recordFirstCopy(tookMs, nowMs));
    expectationError.record(tookMs, Math.max(1, expectedMs));
  }

  /**
   * Returns the time from sending a request until its hedge.
   *
   * @param expectedMs the time until the response that the scheduler expects; 0 if not known
   * @param typicalMs the typical response time of the route
   * @param objectiveRemainingMs time left to meet the latency objective
   */
  long delayMs(long expectedMs, double typicalMs, long objectiveRemainingMs) {
    return budget.isPresent() && expectedMs > 0
        ? expectationError.lateAfterMs(expectedMs)
        : HedgeDelay.delayMs(typicalMs, objectiveRemainingMs);
  }
}
