package dev.cactusstack.decisions.routing;

import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks the hosts that may schedule a service.
 *
 * <p>A scheduler does work for every request of its service, so hosts with close to the highest CPU
 * capacity rank before weaker ones. Within each of the two groups the order depends on a hash of
 * the service's name, so that hosts that know the same hosts agree, and services are spread over
 * hosts. Stateless and thread-safe.
 */
public final class SchedulerRanking {
  /** Minimum CPU capacity of a strong host, relative to the strongest one. */
  private static final double MIN_STRONG_CPU_RATIO = 0.7;

  private SchedulerRanking() {}

  /**
   * Ranks hosts for a service.
   *
   * @param service the service's name
   * @param hosts the usable hosts
   * @param count maximum number of hosts to return
   * @return the hosts in the order in which they are to be asked
   */
  public static List<HostRegistration> rank(
      String service, Collection<HostRegistration> hosts, int count) {
    int maxMilliCores = hosts.stream().mapToInt(HostRegistration::milliCores).max().orElse(0);
    Map<String, HostRegistration> strong = new HashMap<>();
    Map<String, HostRegistration> weak = new HashMap<>();
    for (HostRegistration host : hosts) {
      (host.milliCores() >= maxMilliCores * MIN_STRONG_CPU_RATIO ? strong : weak)
          .put(host.name(), host);
    }
    List<HostRegistration> ranking = new ArrayList<>(ranked(service, strong, count));
    ranking.addAll(ranked(service, weak, count - ranking.size()));
    return ranking;
  }

  private static List<HostRegistration> ranked(
      String service, Map<String, HostRegistration> hosts, int count) {
    return RendezvousHash.ranked(service, hosts.keySet(), count).stream().map(hosts::get).toList();
  }
}
