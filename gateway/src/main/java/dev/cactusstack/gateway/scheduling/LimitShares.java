package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.limits.LimitShare;
import java.util.function.BooleanSupplier;

/**
 * Computes which share of the limits of a service's upstreams this host may use.
 *
 * <p>The rank and the time since when it is the first are those of {@link SchedulerStandings}.
 * Confined to the event loop.
 */
public final class LimitShares {
  /** Longest time between two looks at the rank that counts as without interruption. */
  static final long MAX_GAP_MS = SchedulerStandings.MAX_GAP_MS;

  private final SchedulerStandings standings;

  /**
   * Creates an instance that has looked at no rank yet.
   *
   * @param peers tracks which hosts are alive
   * @param selfHash hash of this host's name
   * @param knowsHosts whether this host is registered and has read the other hosts from the store
   */
  public LimitShares(PeerTable peers, int selfHash, BooleanSupplier knowsHosts) {
    this.standings = new SchedulerStandings(peers, peers::eligibleSchedulers, selfHash, knowsHosts);
  }

  /** Returns this host's share for a service, from 0 to 1. */
  double share(String service, long nowMs) {
    SchedulerStandings.Standing standing = standings.look(service, nowMs);
    return LimitShare.of(
        standing.rank(), standing.firstForMs(), standing.usableHosts(), standing.knownHosts());
  }

  /**
   * Checks whether this host is the first in the ranking of a service and hears of more than half
   * of the hosts. A host without links to the others is the first in its own view only.
   *
   * @param service the service's name
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return false also while it does not know the other hosts
   */
  public boolean isLeading(String service, long nowMs) {
    return standings.look(service, nowMs).isLeading();
  }
}
