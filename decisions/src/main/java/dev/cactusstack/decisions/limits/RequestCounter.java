package dev.cactusstack.decisions.limits;

/**
 * Counts the requests that one scheduler places on one limited upstream, and allows as many as its
 * share of the limit.
 *
 * <p>The count starts empty and gains nothing from a change of the limit or the share, because
 * another scheduler may have placed requests just before. Invariant: over any period, at most a
 * burst of 2 requests, or 1 with a reduced share, plus the rate times the period is allowed, where
 * the period is longer by {@value #MAX_RETURN_MS} ms if requests are returned. With shares of 1,
 * 0.2 and 0.2 and nothing returned, that is at most 5.6 times the limit plus 4 in any 4 s. Confined
 * to one thread.
 */
public final class RequestCounter {
  /**
   * Rate that is allowed at least: only a response to a request reveals that a limit has been
   * withdrawn.
   */
  public static final double MIN_REQUESTS_PER_SECOND = 0.25;

  /** Longest time after which a request that was not sent is taken off the count. */
  static final long MAX_RETURN_MS = 500;

  private static final double WHOLE_SHARE = 1;
  private static final double MAX_BURST = 2;
  private static final double REDUCED_BURST = 1;
  private static final double MS_PER_SECOND = 1_000;
  private static final double ONE_REQUEST = 1;

  private final TokenBucket bucket;
  private final long createdAtMs;
  private double requestsPerSecond;

  /**
   * Creates a counter that allows nothing until it is updated.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public RequestCounter(long nowMs) {
    this.bucket = TokenBucket.empty(nowMs);
    this.createdAtMs = nowMs;
  }

  /**
   * Sets the limit and this scheduler's share of it.
   *
   * @param limit what the upstream takes from all hosts together, in requests per second
   * @param share this scheduler's share, from 0 to 1
   * @param nowMs the current time on the same clock
   */
  public void update(double limit, double share, long nowMs) {
    requestsPerSecond = Math.max(limit, MIN_REQUESTS_PER_SECOND) * share;
    bucket.setRate(requestsPerSecond, burst(limit, share), nowMs);
  }

  private static double burst(double limit, double share) {
    if (share < WHOLE_SHARE) {
      return share > 0 ? REDUCED_BURST : 0;
    }
    return Math.min(MAX_BURST, Math.max(REDUCED_BURST, limit));
  }

  /**
   * Counts a request if it is allowed now.
   *
   * @param nowMs the current time on the same clock
   * @return false if the request must not be placed
   */
  public boolean tryCount(long nowMs) {
    return bucket.tryAcquire(ONE_REQUEST, nowMs);
  }

  /**
   * Takes a request off the count that was not sent. One that was counted long ago stays counted,
   * so that requests can't be saved up; one that was counted by another counter isn't in the count.
   *
   * @param countedAtMs when it was counted, in milliseconds on the same clock
   * @param nowMs the current time on the same clock
   */
  public void takeBack(long countedAtMs, long nowMs) {
    if (countedAtMs >= createdAtMs && nowMs - countedAtMs <= MAX_RETURN_MS) {
      bucket.putBack(ONE_REQUEST, nowMs);
    }
  }

  /**
   * Returns the time until a request is allowed.
   *
   * @param nowMs the current time on the same clock
   * @return the time in milliseconds; 0 if it is allowed now; infinite if none will be
   */
  public double timeUntilAllowedMs(long nowMs) {
    double missing = ONE_REQUEST - bucket.available(nowMs);
    return missing <= 0 ? 0 : Math.ceil(missing / requestsPerSecond * MS_PER_SECOND);
  }

  /**
   * Returns the part of the rate that this scheduler may use.
   *
   * @return the rate, in requests per second
   */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /**
   * Returns what is allowed at once.
   *
   * @param nowMs the current time on the same clock
   * @return the number of requests, with fractions
   */
  public double available(long nowMs) {
    return bucket.available(nowMs);
  }
}
