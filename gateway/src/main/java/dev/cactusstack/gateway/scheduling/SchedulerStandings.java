package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.routing.SchedulerRanking;
import dev.cactusstack.model.site.HostRegistration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Tracks this host's rank among the hosts that may schedule something, and since when it is the
 * first.
 *
 * <p>Invariants: a host that does not know the other hosts has no rank. A host that has not looked
 * at its rank for a while, because it was stopped, counts as one that has just become the first.
 * Which hosts fail to respond to requests does not matter, since other hosts may not agree.
 * Confined to the event loop.
 */
final class SchedulerStandings {
  static final int NOT_RANKED = -1;
  static final int FIRST = 0;

  /** Time for which a standing is kept. */
  private static final long TTL_MS = 250;

  /** Longest time between two looks at the rank that counts as without interruption. */
  static final long MAX_GAP_MS = 2_000;

  /** Time after its last sign of life for which a host may be cut off and still schedule. */
  private static final long KNOWN_WITHIN_MS = 60_000;

  private static final int RANKS_WITH_A_SHARE = 2;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PeerTable peers;
  private final LongFunction<List<HostRegistration>> candidates;
  private final int selfHash;
  private final BooleanSupplier knowsHosts;
  private final Map<String, Standing> standings = new HashMap<>();
  private Set<String> observedHosts = Set.of();
  private long observedAtMs = NEVER;
  private long noneLostSinceMs = NEVER;
  private long unchangedSinceMs = NEVER;

  /**
   * Creates an instance that has looked at no rank yet.
   *
   * @param peers tracks which hosts are alive
   * @param candidates returns the hosts that are ranked at a time
   * @param selfHash hash of this host's name
   * @param knowsHosts whether this host is registered and has read the other hosts from the store
   */
  SchedulerStandings(
      PeerTable peers,
      LongFunction<List<HostRegistration>> candidates,
      int selfHash,
      BooleanSupplier knowsHosts) {
    this.peers = peers;
    this.candidates = candidates;
    this.selfHash = selfHash;
    this.knowsHosts = knowsHosts;
  }

  /** Returns this host's standing for what is scheduled under a key. */
  Standing look(String key, long nowMs) {
    Standing last = standings.get(key);
    if (last != null && nowMs - last.atMs < TTL_MS) {
      return last;
    }
    int rank = knowsHosts.getAsBoolean() ? rank(key, nowMs) : NOT_RANKED;
    int usable = peers.usableHosts(nowMs).size();
    int known = peers.countUsableWithin(KNOWN_WITHIN_MS, nowMs);
    boolean uninterrupted = last != null && last.isFirst() && nowMs - last.atMs <= MAX_GAP_MS;
    Standing previous = uninterrupted ? last : null;
    long firstSinceMs = previous == null ? firstSinceObserved(last, nowMs) : previous.firstSinceMs;
    long leadingSinceMs = previous == null ? firstSinceMs : previous.leadingSinceMs;
    if (!isMost(usable, known)) {
      leadingSinceMs = nowMs;
    }
    var standing =
        new Standing(
            rank,
            firstSinceMs,
            leadingSinceMs,
            usable,
            known,
            peers.longestRunningMs(nowMs),
            nowMs);
    standings.put(key, standing);
    return standing;
  }

  private static boolean isMost(int usable, int known) {
    return 2 * usable > known;
  }

  /** Forgets the standings for some keys. */
  void forgetIf(Predicate<String> condition) {
    standings.keySet().removeIf(condition);
  }

  /**
   * Observes which hosts are ranked. A host that is the first for a key at the first look has been
   * so for as long as no other host was lost, because hosts that join can only rank before it.
   * Without regular calls, a host counts as the first from its first look.
   */
  void observe(long nowMs) {
    Set<String> hosts = new HashSet<>();
    candidates.apply(nowMs).forEach(host -> hosts.add(host.name()));
    boolean interrupted = nowMs - observedAtMs > MAX_GAP_MS || !knowsHosts.getAsBoolean();
    boolean most =
        isMost(peers.usableHosts(nowMs).size(), peers.countUsableWithin(KNOWN_WITHIN_MS, nowMs));
    if (interrupted || !most || !hosts.containsAll(observedHosts)) {
      noneLostSinceMs = nowMs;
    }
    if (interrupted || !most || !hosts.equals(observedHosts)) {
      unchangedSinceMs = nowMs;
    }
    observedHosts = hosts;
    observedAtMs = nowMs;
  }

  /**
   * Returns since when the ranked hosts, and so all ranks, have been the same, and this host has
   * heard of most hosts. Without regular observations, this is now.
   */
  long unchangedSinceMs(long nowMs) {
    observe(nowMs);
    return unchangedSinceMs;
  }

  private long firstSinceObserved(@Nullable Standing last, long nowMs) {
    if (nowMs - observedAtMs > MAX_GAP_MS) {
      return nowMs;
    }
    observe(nowMs);
    return last == null || last.isFirst() ? noneLostSinceMs : Math.max(noneLostSinceMs, last.atMs);
  }

  private int rank(String key, long nowMs) {
    List<HostRegistration> ranking =
        SchedulerRanking.rank(key, candidates.apply(nowMs), RANKS_WITH_A_SHARE);
    for (int i = 0; i < ranking.size(); i++) {
      if (PeerTable.hash(ranking.get(i).name()) == selfHash) {
        return i;
      }
    }
    return NOT_RANKED;
  }

  /**
   * The result of a look at the rank.
   *
   * @param rank this host's position, from 0; {@link #NOT_RANKED} if it is neither first nor second
   * @param firstSinceMs since when it is the first; counts only if it is
   * @param leadingSinceMs since when it is the first and hears of more than half of the hosts
   * @param usableHosts number of hosts that it considers usable
   * @param knownHosts number of hosts that were usable lately
   * @param longestRunningMs for how long any host that it hears of, or itself, has been running
   * @param atMs the time of the look
   */
  record Standing(
      int rank,
      long firstSinceMs,
      long leadingSinceMs,
      int usableHosts,
      int knownHosts,
      long longestRunningMs,
      long atMs) {
    boolean isFirst() {
      return rank == FIRST;
    }

    /** Checks whether it is the first and hears of more than half of the hosts. */
    boolean isLeading() {
      return isFirst() && isMost(usableHosts, knownHosts);
    }

    long firstForMs() {
      return atMs - firstSinceMs;
    }

    long leadingForMs() {
      return atMs - leadingSinceMs;
    }
  }
}
