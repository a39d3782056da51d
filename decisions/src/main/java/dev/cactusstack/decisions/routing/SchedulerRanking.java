package dev.cactusstack.decisions.routing;

import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which hosts schedule a service, best first.
 *
 * <p>A scheduler does work for every request of its service, so hosts with about the most processor
 * come before weaker ones. Among equals the service's name decides, so that hosts that know the
 * same hosts agree, and services spread. Stateless and thread-safe.
 */
public final class SchedulerRanking {
  private static final double STRONG_SHARE = 0.7;

  private SchedulerRanking() {}

  /**
   * Ranks hosts.
   *
   * @param service the service's name
   * @param hosts hosts that can be used
   * @param count most hosts to return
   * @return the hosts to ask, first to last
   */
  public static List<HostRegistration> rank(String service, Collection<HostRegistration> hosts, int count) {
    int most = hosts.stream().mapToInt(HostRegistration::milliCores).max().orElse(0);
    Map<String, HostRegistration> strong = new HashMap<>();
    Map<String, HostRegistration> weak = new HashMap<>();
    for (HostRegistration e : hosts) {
      (e.milliCores() >= most * STRONG_SHARE ? strong : weak).put(e.name(), e);
    }
    List<HostRegistration> out = new ArrayList<>(ranked(service, strong, count));
    out.addAll(ranked(service, weak, count - out.size()));
    return out;
  }

  private static List<HostRegistration> ranked(String service, Map<String, HostRegistration> hosts, int count) {
    return RendezvousHash.ranked(service, hosts.keySet(), count).stream().map(hosts::get).toList();
  }
}
