package dev.cactusstack.decisions.retries;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a share of first attempts, so that retries cannot multiply a failure's load.
 *
 * <p>Invariant: the balance stays between 0 and the reserve. Thread-safe without locks.
 */
public final class RetryBudget {
  private static final long UNIT = 1_000;

  private final long perAttempt;
  private final long reserve;
  private final AtomicLong balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param share retries allowed for each first attempt, from 0 to 1
   * @param reserve retries allowed at once after a quiet time
   */
  public RetryBudget(double share, int reserve) {
    if (share < 0 || share > 1 || reserve < 0) {
      throw new IllegalArgumentException("share must be 0 to 1 and reserve not negative");
    }
    this.perAttempt = Math.round(share * UNIT);
    this.reserve = reserve * UNIT;
    this.balance = new AtomicLong(this.reserve);
  }

  /** Records a first attempt. */
  public void deposit() {
    balance.getAndUpdate(b -> Math.min(reserve, b + perAttempt));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return true when the retry is allowed
   */
  public boolean tryWithdraw() {
    return balance.getAndUpdate(b -> b >= UNIT ? b - UNIT : b) >= UNIT;
  }
}
