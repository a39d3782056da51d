package dev.cactusstack.decisions.retries;

/**
 * Tracks how much longer responses take than their schedulers expected, to tell a late response
 * from usual variation.
 *
 * <p>It keeps a smoothed mean of the ratio of both times and of its deviation, as the
 * retransmission timer of TCP does (RFC 6298). Confined to one thread.
 */
public final class ExpectationError {
  private static final double SMOOTHING = 0.05;
  private static final double DEVIATIONS = 4;
  private static final double INITIAL_DEVIATION = 0.25;

  /** Keeps a few very late responses from putting off all hedges. */
  private static final double MAX_RATIO = 3;

  private double meanRatio = 1;
  private double meanDeviation = INITIAL_DEVIATION;

  /**
   * Records a response.
   *
   * @param actualMs the time until the response, in milliseconds
   * @param expectedMs the time that the scheduler expected, in milliseconds, above 0
   */
  public void record(double actualMs, double expectedMs) {
    double ratio = Math.min(MAX_RATIO, actualMs / expectedMs);
    meanDeviation += (Math.abs(ratio - meanRatio) - meanDeviation) * SMOOTHING;
    meanRatio += (ratio - meanRatio) * SMOOTHING;
  }

  /**
   * Returns the time that a response usually takes.
   *
   * @param expectedMs the time that the scheduler expected, in milliseconds
   * @return the expected time, corrected by the mean ratio, in milliseconds
   */
  public double usualMs(double expectedMs) {
    return expectedMs * meanRatio;
  }

  /**
   * Returns the time after which a response is later than usual.
   *
   * @param expectedMs the time that the scheduler expected, in milliseconds
   * @return the time since the request was sent, in milliseconds; at least the expected time
   */
  public long lateAfterMs(double expectedMs) {
    double factor = Math.max(1, meanRatio + DEVIATIONS * meanDeviation);
    return Math.max(1, Math.round(expectedMs * factor));
  }
}
