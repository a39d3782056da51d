package dev.cactusstack.decisions.limits;

/**
 * Decides which share of the limits of a service's upstreams this host may use as a scheduler.
 *
 * <p>Invariant: the shares of all hosts add up to at most {@value #MAX_TOTAL}, also while hosts
 * disagree on which of them are alive: only one host has the whole share, and only a host that sees
 * most of the others. The upstreams' limits must be kept with that total. Stateless and
 * thread-safe.
 */
public final class LimitShare {
  /** Upper bound on the sum of all shares at any time. */
  public static final double MAX_TOTAL = 1.4;

  /** Time for which a host has to be the first in the ranking before it has the whole share. */
  private static final long SETTLING_MS = 4_000;

  private static final double REDUCED = 0.2;

  /** Part of the known hosts that a minority must have; bounds the number of separate groups. */
  private static final double MIN_MINORITY = 0.25;

  private static final int FIRST = 0;
  private static final int SECOND = 1;

  private LimitShare() {}

  /**
   * Returns this host's share.
   *
   * @param rank this host's position in its ranking of the service's schedulers, from 0; negative
   *     if it is not in the ranking
   * @param firstForMs how long it has been the first without interruption, in milliseconds
   * @param usableHosts number of hosts that it considers usable, itself among them
   * @param knownHosts number of hosts that were usable lately, the usable ones among them
   * @return the share, from 0 to 1
   */
  public static double of(int rank, long firstForMs, int usableHosts, int knownHosts) {
    boolean seesMost = 2 * usableHosts > knownHosts;
    if (!seesMost) {
      double part = (double) usableHosts / knownHosts;
      return rank == FIRST && part >= MIN_MINORITY ? REDUCED * part : 0;
    }
    if (rank == FIRST && firstForMs >= SETTLING_MS) {
      return 1;
    }
    return rank == FIRST || rank == SECOND ? REDUCED : 0;
  }
}
