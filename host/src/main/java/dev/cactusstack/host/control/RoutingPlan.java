package dev.cactusstack.host.control;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.decisions.routing.Rendezvous;
import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.decisions.state.UpstreamState;
import dev.cactusstack.host.callers.Entry;
import dev.cactusstack.host.callers.Hop;
import dev.cactusstack.host.callers.RouteOwner;
import dev.cactusstack.host.callers.RouteScheduler;
import dev.cactusstack.host.callers.RoutingView;
import dev.cactusstack.host.callers.Upstream;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import dev.cactusstack.model.Table;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/** Computes routing snapshots from members, configuration and upstreams. Stateless. */
final class RoutingPlan {
  private RoutingPlan() {}

  static RoutingView of(
      Member self,
      SortedMap<HostId, Member> members,
      Table table,
      Map<RouteKey, List<Upstream>> upstreams,
      Map<RouteKey, RouteScheduler> schedulers,
      ToDoubleFunction<HostId> roundTripMs) {
    List<Member> serving = members.values().stream().filter(Member::serves).toList();
    Map<RouteKey, RouteOwner> owners =
        owners(self, serving, table, upstreams, schedulers, roundTripMs);
    return new RoutingView(
        self.info().dataCentre(),
        table,
        splits(self, members, table, owners),
        owners,
        entries(self, serving));
  }

  static boolean isLocal(@Nullable RouteOwner o) {
    return o instanceof RouteOwner.Local;
  }

  private static Map<RouteKey, RouteOwner> owners(
      Member self,
      List<Member> serving,
      Table table,
      Map<RouteKey, List<Upstream>> upstreams,
      Map<RouteKey, RouteScheduler> schedulers,
      ToDoubleFunction<HostId> roundTripMs) {
    var byDataCentre = new HashMap<DataCentre, List<HostId>>();
    var byId = new HashMap<HostId, Member>();
    for (Member m : serving) {
      byId.put(m.id(), m);
      byDataCentre
          .computeIfAbsent(m.info().dataCentre(), d -> new java.util.ArrayList<>())
          .add(m.id());
    }
    var owners = new TreeMap<RouteKey, RouteOwner>();
    for (Route r : table.routes().values()) {
      RouteKey key = r.key();
      RouteScheduler scheduler = schedulers.get(key);
      List<HostId> candidates =
          byDataCentre.getOrDefault(key.dataCentre(), List.copyOf(byId.keySet()));
      if (scheduler == null
          || !isUsable(upstreams.get(key))
          || r.weight() == 0
          || table.isOut(key.dataCentre())) {
        continue;
      }
      Rendezvous.first(key.toString(), candidates)
          .map(byId::get)
          .ifPresent(m -> owners.put(key, owner(self, m, scheduler, roundTripMs)));
    }
    return owners;
  }

  private static boolean isUsable(@Nullable List<Upstream> list) {
    return list != null && list.stream().anyMatch(u -> u.health().state() != UpstreamState.LEAVING);
  }

  private static RouteOwner owner(
      Member self, Member m, RouteScheduler scheduler, ToDoubleFunction<HostId> roundTripMs) {
    return m.id().equals(self.id())
        ? new RouteOwner.Local(scheduler)
        : new RouteOwner.Remote(
            new Hop(m.id(), m.info().callers(), roundTripMs.applyAsDouble(m.id())));
  }

  private static Map<ServiceName, TrafficSplit> splits(
      Member self,
      SortedMap<HostId, Member> members,
      Table table,
      Map<RouteKey, RouteOwner> owners) {
    var weights = new TreeMap<ServiceName, Map<DataCentre, Integer>>();
    for (Route r : table.routes().values()) {
      Map<DataCentre, Integer> w = weights.computeIfAbsent(r.key().service(), s -> new TreeMap<>());
      if (owners.containsKey(r.key())) {
        w.put(r.key().dataCentre(), r.weight());
      }
    }
    Map<ServiceName, Map<DataCentre, Double>> arrivals = arrivals(members);
    var splits = new TreeMap<ServiceName, TrafficSplit>();
    weights.forEach(
        (s, w) ->
            splits.put(
                s,
                TrafficSplit.compute(
                    self.info().dataCentre(), arrivals.getOrDefault(s, Map.of()), w)));
    return splits;
  }

  private static Map<ServiceName, Map<DataCentre, Double>> arrivals(
      SortedMap<HostId, Member> members) {
    var arrivals = new TreeMap<ServiceName, Map<DataCentre, Double>>();
    for (Member m : members.values()) {
      if (m.status() == MemberStatus.DEAD) {
        continue;
      }
      for (ServiceRate r : m.info().rates()) {
        arrivals
            .computeIfAbsent(r.service(), s -> new TreeMap<>())
            .merge(m.info().dataCentre(), (double) r.perSecond(), Double::sum);
      }
    }
    return arrivals;
  }

  /** Suspected hosts are left out, unless nobody else is left. */
  private static List<Entry> entries(Member self, List<Member> serving) {
    List<Member> alive = serving.stream().filter(m -> m.status() == MemberStatus.ALIVE).toList();
    List<Member> shown = !alive.isEmpty() ? alive : !serving.isEmpty() ? serving : List.of(self);
    return shown.stream().map(m -> new Entry(m.info().callers(), m.info().dataCentre())).toList();
  }
}
