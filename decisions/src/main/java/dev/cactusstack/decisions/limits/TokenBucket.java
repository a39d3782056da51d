package dev.cactusstack.decisions.limits;

/**
 * A token bucket: allows use at a steady rate, with a burst after an idle period.
 *
 * <p>Invariant: over any period, the tokens acquired and not put back are at most the largest burst
 * plus what the rates add in that period plus the tokens put back that were acquired before it.
 * Thread-safe.
 */
public final class TokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  private double tokensPerSecond;
  private double burst;
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

  private TokenBucket(long nowMs) {
    this.lastRefillMs = nowMs;
  }

  /**
   * Creates an empty bucket that gets no tokens until its rate is set.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the bucket
   */
  public static TokenBucket empty(long nowMs) {
    return new TokenBucket(nowMs);
  }

  /**
   * Changes the rate and the burst. Tokens above the new burst are dropped; none are added.
   *
   * @param newTokensPerSecond tokens added per second from now on; may be 0
   * @param newBurst maximum number of tokens in the bucket from now on; may be 0
   * @param nowMs the current time on the clock used for the constructor, in milliseconds
   */
  public synchronized void setRate(double newTokensPerSecond, double newBurst, long nowMs) {
    if (newTokensPerSecond < 0 || newBurst < 0) {
      throw new IllegalArgumentException("rate and burst must not be negative");
    }
    refill(nowMs);
    tokensPerSecond = newTokensPerSecond;
    burst = newBurst;
    tokens = Math.min(burst, tokens);
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
    refill(nowMs);
    if (requested > tokens) {
      rejectedCount++;
      return false;
    }
    tokens -= requested;
    return true;
  }

  /**
   * Puts tokens back that were acquired and not used, as far as the bucket has room for them.
   *
   * @param unused number of tokens
   * @param nowMs the current time on the clock used for the constructor, in milliseconds
   */
  public synchronized void putBack(double unused, long nowMs) {
    refill(nowMs);
    tokens = Math.min(burst, tokens + unused);
  }

  /**
   * Returns how many tokens are in the bucket.
   *
   * @param nowMs the current time on the clock used for the constructor, in milliseconds
   * @return the number of tokens
   */
  public synchronized double available(long nowMs) {
    refill(nowMs);
    return tokens;
  }

  private void refill(long nowMs) {
    long elapsedMs = Math.max(0, nowMs - lastRefillMs);
    tokens = Math.min(burst, tokens + elapsedMs * tokensPerSecond / MS_PER_SECOND);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
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
