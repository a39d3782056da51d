package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.routing.SchedulerRanking;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Selects the host that schedules a service: the first in the service's ranking that has not
 * recently failed to respond. Confined to the event loop.
 */
final class SchedulerSelector {
  private static final long SUSPICION_MS = 1_000;
  private static final int RANKING_SIZE = 4;
  private static final long RANKING_TTL_MS = 250;

  private final LongSupplier clock;
  private final LongFunction<List<HostRegistration>> candidates;
  private final int selfHash;
  private final Map<Address, Long> suspectedAtMs = new HashMap<>();
  private final Map<String, Ranking> rankings = new HashMap<>();

  /**
   * Creates a selector that suspects no host.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param candidates returns the hosts that are ranked at a time
   * @param selfHash hash of this host's name
   */
  SchedulerSelector(
      LongSupplier clock, LongFunction<List<HostRegistration>> candidates, int selfHash) {
    this.clock = clock;
    this.candidates = candidates;
    this.selfHash = selfHash;
  }

  /** Skips a host for a while. */
  void suspect(Address scheduler) {
    suspectedAtMs.put(scheduler, clock.getAsLong());
  }

  /** Records that a host responds. */
  void clearSuspicion(Address scheduler) {
    suspectedAtMs.remove(scheduler);
  }

  /** Returns the host that schedules a service, or empty if it is this host. */
  Optional<HostRegistration> remoteScheduler(String service) {
    return remoteScheduler(service, Set.of());
  }

  /** Returns the host that schedules a service without some hosts, or empty if it is this host. */
  Optional<HostRegistration> remoteScheduler(String service, Set<Address> excluded) {
    long now = clock.getAsLong();
    for (HostRegistration host : rankSchedulers(service, now)) {
      Address address = host.linkAddress();
      if (!isSuspected(address, now) && !excluded.contains(address)) {
        return PeerTable.hash(host.name()) == selfHash ? Optional.empty() : Optional.of(host);
      }
    }
    return Optional.empty();
  }

  private boolean isSuspected(Address scheduler, long now) {
    Long sinceMs = suspectedAtMs.get(scheduler);
    return sinceMs != null && now - sinceMs < SUSPICION_MS;
  }

  private List<HostRegistration> rankSchedulers(String service, long now) {
    Ranking cached = rankings.get(service);
    if (cached != null && now - cached.rankedAtMs < RANKING_TTL_MS) {
      return cached.hosts;
    }
    List<HostRegistration> ranked =
        SchedulerRanking.rank(service, candidates.apply(now), RANKING_SIZE);
    rankings.put(service, new Ranking(ranked, now));
    return ranked;
  }

  private record Ranking(List<HostRegistration> hosts, long rankedAtMs) {}
}
