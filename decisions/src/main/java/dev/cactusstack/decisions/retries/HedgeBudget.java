package dev.cactusstack.decisions.retries;

/**
 * Limits the hedges that this host sends, as a share of its requests and as a share of the time
 * that upstreams spend on its first copies.
 *
 * <p>Each request and each first copy earns a part of a hedge, and each hedge spends it. Both
 * limits are ratios, so that what holds for each host holds for the sum over all hosts. Invariants:
 * hedges never exceed the share of the requests so far. The time of hedges exceeds its share at
 * most by how much longer than expected the running hedges take; that debt is paid before the next
 * one. What was earned is kept only up to the earnings of some seconds, or one hedge: a host of a
 * large site would never earn a whole one otherwise. Confined to one thread.
 */
public final class HedgeBudget {
  private static final double WINDOW_MS = 4_000;

  /** Part of an amount that may be missing because of rounding. */
  private static final double ROUNDING = 1e-9;

  private final Allowance requests;
  private final Allowance work;

  /**
   * Creates an empty budget.
   *
   * @param maxRequestShare the share of the requests that may be hedged, from 0 to 1
   * @param maxWorkShare the time that upstreams may spend on hedges, as a share of their time for
   *     first copies, from 0 to 1
   */
  public HedgeBudget(double maxRequestShare, double maxWorkShare) {
    this.requests = new Allowance(maxRequestShare);
    this.work = new Allowance(maxWorkShare);
  }

  /** The decision on a hedge. */
  public enum Decision {
    /** The hedge may be sent. */
    ALLOWED,
    /** Too many requests have been hedged. */
    REQUEST_SHARE,
    /** Upstreams have spent too much time on hedges. */
    WORK_SHARE
  }

  /**
   * Counts a caller's request.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void recordRequest(long nowMs) {
    requests.earn(1, nowMs);
  }

  /**
   * Counts an attempt that is not a hedge.
   *
   * @param durationMs the time that the upstream spent on it, in milliseconds
   * @param nowMs the current time on the same clock
   */
  public void recordFirstCopy(double durationMs, long nowMs) {
    work.earn(durationMs, nowMs);
  }

  /**
   * Checks whether a hedge would be allowed, without counting it.
   *
   * @param expectedMs the time that the upstream is expected to spend on it, in milliseconds
   * @param nowMs the current time on the same clock
   * @return the decision
   */
  public Decision check(double expectedMs, long nowMs) {
    if (!requests.hasRoom(1, nowMs)) {
      return Decision.REQUEST_SHARE;
    }
    return work.hasRoom(expectedMs, nowMs) ? Decision.ALLOWED : Decision.WORK_SHARE;
  }

  /**
   * Counts a hedge if it is allowed.
   *
   * @param expectedMs the time that the upstream is expected to spend on it, in milliseconds
   * @param nowMs the current time on the same clock
   * @return the decision; nothing is counted unless it is {@link Decision#ALLOWED}
   */
  public Decision tryAcquire(double expectedMs, long nowMs) {
    Decision decision = check(expectedMs, nowMs);
    if (decision == Decision.ALLOWED) {
      requests.take(1, nowMs);
      work.take(expectedMs, nowMs);
    }
    return decision;
  }

  /**
   * Records the end of a hedge that was counted.
   *
   * @param expectedMs the time that it was counted with, in milliseconds
   * @param actualMs the time that the upstream spent on it, in milliseconds
   */
  public void recordHedgeEnd(double expectedMs, double actualMs) {
    work.spend(actualMs - expectedMs);
  }

  /**
   * Returns a hedge that was counted but not sent.
   *
   * @param expectedMs the time that it was counted with, in milliseconds
   */
  public void giveBack(double expectedMs) {
    requests.spend(-1);
    work.spend(-expectedMs);
  }

  /** What was earned and not yet spent. */
  private static final class Allowance {
    private final double share;
    private double balance;
    private double recentEarnings;
    private long updatedAtMs;

    Allowance(double share) {
      if (!(share >= 0 && share <= 1)) {
        throw new IllegalArgumentException("share must be from 0 to 1");
      }
      this.share = share;
    }

    void earn(double amount, long nowMs) {
      decay(nowMs);
      recentEarnings += amount * share;
      balance += amount * share;
    }

    /** Checks for an amount; the balance stays, because a dearer hedge may be sent instead. */
    boolean hasRoom(double amount, long nowMs) {
      return share > 0 && available(amount, nowMs) >= amount * (1 - ROUNDING);
    }

    void take(double amount, long nowMs) {
      balance = available(amount, nowMs) - amount;
    }

    private double available(double amount, long nowMs) {
      decay(nowMs);
      return Math.min(balance, Math.max(amount, recentEarnings));
    }

    void spend(double amount) {
      balance -= amount;
    }

    private void decay(long nowMs) {
      recentEarnings *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / WINDOW_MS);
      updatedAtMs = nowMs;
    }
  }
}
