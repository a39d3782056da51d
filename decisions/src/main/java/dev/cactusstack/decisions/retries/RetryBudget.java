package dev.cactusstack.decisions.retries;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of first attempts, so that retries cannot multiply the load during a
 * failure.
 *
 * <p>Invariant: the balance stays between 0 and the reserve. Thread-safe without locks.
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerAttempt;
  private final long reserve;
  private final AtomicLong balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param retryShare the number of retries allowed per first attempt, from 0 to 1
   * @param reserve the number of retries allowed in a burst after a period without retries
   */
  public RetryBudget(double retryShare, int reserve) {
    if (retryShare < 0 || retryShare > 1 || reserve < 0) {
      throw new IllegalArgumentException(
          "retryShare must be from 0 to 1 and reserve must not be negative");
    }
    this.unitsPerAttempt = Math.round(retryShare * UNITS_PER_RETRY);
    this.reserve = reserve * UNITS_PER_RETRY;
    this.balance = new AtomicLong(this.reserve);
  }

  /** Records a first attempt. */
  public void deposit() {
    balance.getAndUpdate(units -> Math.min(reserve, units + unitsPerAttempt));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return true if the retry is allowed
   */
  public boolean tryWithdraw() {
    return balance.getAndUpdate(units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units)
        >= UNITS_PER_RETRY;
  }
}
