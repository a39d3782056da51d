package dev.cactusstack.decisions.retries;

/**
 * When an idempotent request that has not been answered is sent to a second upstream: at the last
 * moment at which the second answer is likely to meet the objective (after The Tail at Scale,
 * 2013).
 *
 * <p>It answers upstreams that slow down several times over while a request runs. Stateless and
 * thread-safe.
 */
public final class HedgeDelay {
  private static final double SECOND_ANSWER = 1.3;
  private static final double EARLIEST = 1.25;
  private static final double LATEST = 1.8;

  private HedgeDelay() {}

  /**
   * Computes the delay.
   *
   * @param usualMs how long an answer takes on an undisturbed upstream, in milliseconds
   * @param objectiveLeftMs time left until the objective is missed, in milliseconds
   * @return milliseconds from the first attempt to the second
   */
  public static long delayMs(double usualMs, long objectiveLeftMs) {
    double last = objectiveLeftMs - usualMs * SECOND_ANSWER;
    double bounded = Math.max(usualMs * EARLIEST, Math.min(usualMs * LATEST, last));
    return Math.max(1, Math.round(bounded));
  }
}
