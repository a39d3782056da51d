package dev.cactusstack.decisions.limits;

/**
 * A token bucket: allows spending at a steady rate, with a burst after a quiet time.
 *
 * <p>Invariant: over any period, what is allowed is at most the burst plus the rate times the
 * period. Thread-safe.
 */
public final class TokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  private final double perSecond;
  private final double burst;
  private double balance;
  private long lastMs;
  private long rejectedCount;

  /**
   * Creates a limit with a full burst.
   *
   * @param perSecond units that may be spent each second
   * @param burst units that may be spent at once after a quiet time
   * @param nowMs the present time, in milliseconds on a steady clock
   */
  public TokenBucket(double perSecond, double burst, long nowMs) {
    if (perSecond <= 0 || burst <= 0) {
      throw new IllegalArgumentException("rate and burst must be positive");
    }
    this.perSecond = perSecond;
    this.burst = burst;
    this.balance = burst;
    this.lastMs = nowMs;
  }

  /**
   * Spends, if the limit allows.
   *
   * @param units what to spend
   * @param nowMs the present time on the clock of the constructor
   * @return false when the limit does not allow it; nothing is spent then
   */
  public synchronized boolean tryAcquire(double units, long nowMs) {
    long elapsed = Math.max(0, nowMs - lastMs);
    balance = Math.min(burst, balance + elapsed * perSecond / MS_PER_SECOND);
    lastMs = Math.max(lastMs, nowMs);
    if (units > balance) {
      rejectedCount++;
      return false;
    }
    balance -= units;
    return true;
  }

  /**
   * Returns how often the limit did not allow spending.
   *
   * @return the count
   */
  public synchronized long rejectedCount() {
    return rejectedCount;
  }
}
