package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.limits.LimitShare;
import dev.cactusstack.decisions.routing.SchedulerRanking;
import dev.cactusstack.model.site.HostRegistration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Computes which share of the limits of a service's upstreams this host may use.
 *
 * <p>Invariants: a host that does not know the other hosts has no share. A host that has not looked
 * at its rank for a while, because it was stopped, counts as one that has just become the first.
 * Which hosts fail to respond to placement requests does not matter, since other hosts may not
 * agree. Confined to the event loop.
 */
public final class LimitShares {
  /** Time for which a share is kept. */
  private static final long TTL_MS = 250;

  /** Longest time between two looks at the rank that counts as without interruption. */
  static final long MAX_GAP_MS = 2_000;

  /** Time after its last sign of life for which a host may be cut off and still schedule. */
  private static final long KNOWN_WITHIN_MS = 60_000;

  private static final int RANKS_WITH_A_SHARE = 2;
  private static final int NOT_RANKED = -1;
  private static final int FIRST = 0;

  private final PeerTable peers;
  private final int selfHash;
  private final BooleanSupplier knowsHosts;
  private final Map<String, Standing> standings = new HashMap<>();

  /**
   * Creates an instance that has looked at no rank yet.
   *
   * @param peers tracks which hosts are alive
   * @param selfHash hash of this host's name
   * @param knowsHosts whether this host is registered and has read the other hosts from the store
   */
  public LimitShares(PeerTable peers, int selfHash, BooleanSupplier knowsHosts) {
    this.peers = peers;
    this.selfHash = selfHash;
    this.knowsHosts = knowsHosts;
  }

  /** Returns this host's share for a service, from 0 to 1. */
  double share(String service, long nowMs) {
    Standing last = standings.get(service);
    if (last != null && nowMs - last.atMs < TTL_MS) {
      return last.share;
    }
    int rank = knowsHosts.getAsBoolean() ? rank(service, nowMs) : NOT_RANKED;
    long firstSinceMs =
        last != null && last.isFirstWithoutInterruption(nowMs) ? last.firstSinceMs : nowMs;
    double share =
        LimitShare.of(
            rank,
            nowMs - firstSinceMs,
            peers.usableHosts(nowMs).size(),
            peers.countUsableWithin(KNOWN_WITHIN_MS, nowMs));
    standings.put(service, new Standing(rank, firstSinceMs, share, nowMs));
    return share;
  }

  /**
   * Checks whether this host is the first in the ranking of a service.
   *
   * @param service the service's name
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return false also while it does not know the other hosts
   */
  public boolean isFirst(String service, long nowMs) {
    share(service, nowMs);
    Standing standing = standings.get(service);
    return standing != null && standing.rank == FIRST;
  }

  private int rank(String service, long nowMs) {
    List<HostRegistration> ranking =
        SchedulerRanking.rank(service, peers.eligibleSchedulers(nowMs), RANKS_WITH_A_SHARE);
    for (int i = 0; i < ranking.size(); i++) {
      if (PeerTable.hash(ranking.get(i).name()) == selfHash) {
        return i;
      }
    }
    return NOT_RANKED;
  }

  /** The result of a look at the rank. The time since when it is the first counts only there. */
  private record Standing(int rank, long firstSinceMs, double share, long atMs) {
    boolean isFirstWithoutInterruption(long nowMs) {
      return rank == FIRST && nowMs - atMs <= MAX_GAP_MS;
    }
  }
}
