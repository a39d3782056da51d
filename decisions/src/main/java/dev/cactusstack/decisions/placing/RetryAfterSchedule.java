package dev.cactusstack.decisions.placing;

/**
 * Assigns retry times to rejected requests.
 *
 * <p>Retry times are spaced by the interval at which the service can take requests, so that callers
 * return no faster than they can be served and not all at once. Confined to one thread.
 */
final class RetryAfterSchedule {
  private static final double MIN_RETRY_AFTER_MS = 30;
  private static final double MAX_RETRY_AFTER_MS = 1_000;

  private double lastRetryAtMs = Double.NEGATIVE_INFINITY;

  /**
   * Assigns the next retry time.
   *
   * @param queuedWorkMs time until the work that is already queued is done, in milliseconds
   * @param serviceIntervalMs interval at which the service can take requests, in milliseconds
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the delay until the retry, in milliseconds
   */
  long nextRetryAfterMs(double queuedWorkMs, double serviceIntervalMs, long nowMs) {
    double retryAtMs =
        Math.max(
            nowMs + Math.max(MIN_RETRY_AFTER_MS, queuedWorkMs), lastRetryAtMs + serviceIntervalMs);
    if (retryAtMs > nowMs + MAX_RETRY_AFTER_MS) {
      return Math.round(MAX_RETRY_AFTER_MS);
    }
    lastRetryAtMs = retryAtMs;
    return Math.round(retryAtMs - nowMs);
  }
}
