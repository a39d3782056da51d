package dev.cactusstack.decisions.quotas;

/**
 * Decides which share of a workspace's quota this host may grant.
 *
 * <p>Invariant: in any set of separated groups of hosts, the shares add up to at most 1.2, and only
 * one host of hosts that agree on who is alive has more than a tenth. docs/design/quotas.md bounds
 * what hosts grant while they disagree. Stateless and thread-safe.
 */
public final class QuotaShare {
  /**
   * Time for which a host has to be the first before it has the whole share, in milliseconds.
   * Longer than a host that was cut off or stopped takes to learn that it is not the first.
   */
  public static final long SETTLING_MS = 4_000;

  private static final double WHOLE = 1;
  private static final double SETTLING = 0.5;
  private static final double SECOND_SHARE = 0.1;
  private static final double MINORITY = 0.2;

  /** Part of the known hosts that a minority must have; bounds the number of separate groups. */
  private static final double MIN_MINORITY = 0.25;

  private static final int FIRST = 0;
  private static final int SECOND = 1;

  private QuotaShare() {}

  /**
   * Returns this host's share.
   *
   * @param rank this host's position in its ranking of the workspace's quota owners, from 0;
   *     negative if it is not in the ranking or has not read the other hosts
   * @param firstForMs how long it has been the first without interruption, in milliseconds
   * @param usableHosts number of hosts that it considers usable, itself among them
   * @param knownHosts number of hosts that were usable lately, the usable ones among them
   * @param longestRunningMs the longest time for which any host that it hears of, or itself, has
   *     been running, in milliseconds
   * @return the share, from 0 to 1
   */
  public static double of(
      int rank, long firstForMs, int usableHosts, int knownHosts, long longestRunningMs) {
    boolean seesMost = 2 * usableHosts > knownHosts;
    double part = (double) usableHosts / knownHosts;
    if (rank == FIRST && longestRunningMs <= SETTLING_MS) {
      // All hosts were lost. Until a host hears of most others, many are the first by their own
      // view, each of as many hosts as it hears of: these parts add up to about 1.
      return seesMost ? WHOLE : part;
    }
    if (!seesMost) {
      return rank == FIRST && part >= MIN_MINORITY ? MINORITY * part : 0;
    }
    if (rank == FIRST) {
      return firstForMs >= SETTLING_MS ? WHOLE : SETTLING;
    }
    return rank == SECOND ? SECOND_SHARE : 0;
  }
}
