package dev.cactusstack.decisions.retries;

/**
 * Computes when to hedge: to send an idempotent request that has no response yet to a second
 * upstream as well.
 *
 * <p>The hedge is sent at the last moment at which the second response is likely to meet the
 * latency objective (The Tail at Scale, 2013). Hedging mitigates upstreams whose processing time
 * rises several-fold while a request runs. Stateless and thread-safe.
 */
public final class HedgeDelay {
  private static final double SECOND_RESPONSE_FACTOR = 1.3;
  private static final double EARLIEST_FACTOR = 1.25;
  private static final double LATEST_FACTOR = 1.8;

  private HedgeDelay() {}

  /**
   * Computes the delay.
   *
   * @param typicalMs the typical response time of an undisturbed upstream, in milliseconds
   * @param objectiveRemainingMs time left to meet the latency objective, in milliseconds
   * @return the delay between the first and the second attempt, in milliseconds
   */
  public static long delayMs(double typicalMs, long objectiveRemainingMs) {
    double latestMs = objectiveRemainingMs - typicalMs * SECOND_RESPONSE_FACTOR;
    double boundedMs =
        Math.max(typicalMs * EARLIEST_FACTOR, Math.min(typicalMs * LATEST_FACTOR, latestMs));
    return Math.max(1, Math.round(boundedMs));
  }
}
