package dev.cactusstack.decisions.limits;

/**
 * A leaky bucket as a meter: counts use that drains at a steady rate.
 *
 * <p>Beside a {@link TokenBucket} of the same rate it tells what was used and has not accrued
 * again, which the tokens alone don't tell once a lower burst has cut them. Invariant: the level is
 * never negative. Confined to one thread.
 */
public final class LeakyBucket {
  private static final double MS_PER_SECOND = 1_000;

  private double drainPerSecond;
  private double level;
  private long lastDrainMs;

  /**
   * Creates a bucket that does not drain until its rate is set.
   *
   * @param level what has been used
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public LeakyBucket(double level, long nowMs) {
    this.level = Math.max(0, level);
    this.lastDrainMs = nowMs;
  }

  /**
   * Changes the rate.
   *
   * @param newDrainPerSecond use that drains per second from now on; may be 0
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void setRate(double newDrainPerSecond, long nowMs) {
    drain(nowMs);
    drainPerSecond = newDrainPerSecond;
  }

  /**
   * Counts use.
   *
   * @param used the amount; negative if it is taken back
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void add(double used, long nowMs) {
    drain(nowMs);
    level = Math.max(0, level + used);
  }

  /**
   * Returns the use that has not drained yet.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the amount, with fractions
   */
  public double level(long nowMs) {
    drain(nowMs);
    return level;
  }

  private void drain(long nowMs) {
    long elapsedMs = Math.max(0, nowMs - lastDrainMs);
    level = Math.max(0, level - elapsedMs * drainPerSecond / MS_PER_SECOND);
    lastDrainMs = Math.max(lastDrainMs, nowMs);
  }
}
