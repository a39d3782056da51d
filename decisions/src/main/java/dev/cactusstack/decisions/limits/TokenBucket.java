package dev.cactusstack.decisions.limits;

/**
 * A token bucket: allows use at a steady rate, with a burst after an idle period.
 *
 * <p>Invariant: over any period, the tokens acquired are at most the burst plus the rate times the
 * period. Thread-safe.
 */
public final class TokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  private final double tokensPerSecond;
  private final double burst;
  private double tokens;
  private long lastRefillMs;
  private long rejectedCount;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond tokens added per second
   * @param burst maximum number of tokens in the bucket
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public TokenBucket(double tokensPerSecond, double burst, long nowMs) {
    if (tokensPerSecond <= 0 || burst <= 0) {
      throw new IllegalArgumentException("rate and burst must be positive");
    }
    this.tokensPerSecond = tokensPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastRefillMs = nowMs;
  }

  /**
   * Acquires tokens if enough are available.
   *
   * @param requested number of tokens to acquire
   * @param nowMs the current time on the clock used for the constructor, in milliseconds
   * @return true if the tokens were acquired; false if there were too few, in which case none are
   *     taken
   */
  public synchronized boolean tryAcquire(double requested, long nowMs) {
    long elapsedMs = Math.max(0, nowMs - lastRefillMs);
    tokens = Math.min(burst, tokens + elapsedMs * tokensPerSecond / MS_PER_SECOND);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
    if (requested > tokens) {
      rejectedCount++;
      return false;
    }
    tokens -= requested;
    return true;
  }

  /**
   * Returns how many times too few tokens were available.
   *
   * @return the number of rejected calls
   */
  public synchronized long rejectedCount() {
    return rejectedCount;
  }
}
