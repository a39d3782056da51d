package dev.cactusstack.decisions.placing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slot time that each workspace recently used at one service, and which workspaces are owed a
 * slot because they were served much less often than all.
 *
 * <p>The use halves every {@value #HALF_LIFE_MS} ms. Invariants: a workspace that keeps asking is
 * owed a slot before it has been served less than a quarter as often as all, less one request; what
 * was used above that quarter is not held against it later. At most {@value #MAX_WORKSPACES}
 * workspaces are kept; those with the least use are forgotten first. Confined to one thread.
 */
class FairShare {
  static final int MAX_WORKSPACES = 4_096;
  static final double MIN_SERVED_RATIO = 0.25;
  private static final long HALF_LIFE_MS = 1_000;
  private static final double MAX_OWED = 2;

  private final Map<String, Account> accounts = new HashMap<>();
  private double asked;
  private double served;
  private long countedAtMs;

  /**
   * Records a new request of a workspace, whatever is decided on it. Retries of callers must not be
   * recorded: a workspace would be owed more the more often its callers retry.
   */
  void recordAsked(String workspace, long nowMs) {
    decayCounts(nowMs);
    asked++;
    Account account = account(workspace, nowMs);
    double servedRatio = Math.min(1, served / asked);
    account.owed = Math.min(MAX_OWED, account.owed + MIN_SERVED_RATIO * servedRatio);
  }

  /** Charges a placement with the slot time that it is expected to take, in milliseconds. */
  void recordPlaced(String workspace, double expectedMs, long nowMs) {
    decayCounts(nowMs);
    served++;
    Account account = account(workspace, nowMs);
    account.owed = Math.max(0, account.owed - 1);
    account.usedMs += expectedMs;
  }

  /** Corrects the charge of a placement by a difference, which may be negative. */
  void adjust(String workspace, double differenceMs, long nowMs) {
    Account account = account(workspace, nowMs);
    account.usedMs = Math.max(0, account.usedMs + differenceMs);
  }

  /** Returns the recently used slot time, in milliseconds. */
  double usedMs(String workspace, long nowMs) {
    Account account = accounts.get(workspace);
    return account == null ? 0 : account.usedMs * decay(nowMs - account.updatedAtMs);
  }

  /** Checks whether a workspace has to be served next, so that it is not below the minimum. */
  boolean isOwed(String workspace) {
    Account account = accounts.get(workspace);
    return account != null && account.owed >= 1;
  }

  int size() {
    return accounts.size();
  }

  private Account account(String workspace, long nowMs) {
    Account account = accounts.get(workspace);
    if (account == null) {
      if (accounts.size() >= MAX_WORKSPACES) {
        forgetLeastUsed(nowMs);
      }
      account = new Account(nowMs);
      accounts.put(workspace, account);
    }
    account.usedMs *= decay(nowMs - account.updatedAtMs);
    account.updatedAtMs = nowMs;
    return account;
  }

  /** Forgets half of the workspaces at once, so that the cost is spread over many new ones. */
  private void forgetLeastUsed(long nowMs) {
    Collection<String> names = accounts.keySet();
    List<String> byUse =
        names.stream().sorted(Comparator.comparingDouble(n -> usedMs(n, nowMs))).toList();
    byUse.subList(0, byUse.size() / 2).forEach(accounts::remove);
  }

  private void decayCounts(long nowMs) {
    double factor = decay(nowMs - countedAtMs);
    asked *= factor;
    served *= factor;
    countedAtMs = nowMs;
  }

  private static double decay(long elapsedMs) {
    return Math.pow(0.5, Math.max(0, elapsedMs) / (double) HALF_LIFE_MS);
  }

  private static final class Account {
    private double usedMs;
    private double owed;
    private long updatedAtMs;

    Account(long nowMs) {
      this.updatedAtMs = nowMs;
    }
  }
}
