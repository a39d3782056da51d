package dev.cactusstack.host.control;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.decisions.routing.TrafficSplit;
import dev.cactusstack.decisions.state.UpstreamState;
import dev.cactusstack.host.callers.EntryEndpoint;
import dev.cactusstack.host.callers.RemoteHost;
import dev.cactusstack.host.callers.RouteOwner;
import dev.cactusstack.host.callers.RouteScheduler;
import dev.cactusstack.host.callers.RoutingView;
import dev.cactusstack.host.callers.ServiceView;
import dev.cactusstack.host.callers.ServiceView.Target;
import dev.cactusstack.host.callers.Upstream;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.model.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/** Computes routing snapshots from members, configuration and upstreams. Confined to one thread. */
final class RoutingViewBuilder {
  private final Member self;
  private final List<Member> allMembers;
  private final List<Member> servingMembers;
  private final Map<HostId, Member> byId = new HashMap<>();
  private final Map<DataCentre, List<HostId>> byDataCentre = new HashMap<>();
  private final ToDoubleFunction<HostId> roundTripMs;

  RoutingViewBuilder(Member self, Iterable<Member> members, ToDoubleFunction<HostId> roundTripMs) {
    this.self = self;
    this.roundTripMs = roundTripMs;
    this.allMembers = new ArrayList<>();
    this.servingMembers = new ArrayList<>();
    for (Member m : members) {
      allMembers.add(m);
      if (m.isServing()) {
        servingMembers.add(m);
        byId.put(m.id(), m);
        byDataCentre.computeIfAbsent(m.info().dataCentre(), d -> new ArrayList<>()).add(m.id());
      }
    }
  }

  RoutingView build(
      ConfigurationTable table,
      Map<RouteKey, List<Upstream>> upstreams,
      Map<RouteKey, RouteScheduler> schedulers) {
    var targets = new TreeMap<ServiceName, List<Target>>();
    for (Route r : table.routes().values()) {
      List<Target> list = targets.computeIfAbsent(r.key().service(), s -> new ArrayList<>());
      RouteScheduler scheduler = schedulers.get(r.key());
      boolean usable =
          r.weight() > 0
              && !table.isEvacuated(r.key().dataCentre())
              && canServe(upstreams.get(r.key()));
      if (usable && scheduler != null) {
        owner(r.key(), scheduler).ifPresent(o -> list.add(new Target(r.key(), r.weight(), o)));
      }
    }
    Map<ServiceName, Map<DataCentre, Double>> arrivals = arrivals();
    var services = new HashMap<ServiceName, ServiceView>();
    targets.forEach(
        (s, list) ->
            services.put(
                s, new ServiceView(split(list, arrivals.getOrDefault(s, Map.of())), list)));
    return new RoutingView(self.info().dataCentre(), table.version() > 0, services, entries());
  }

  static boolean isLocal(Optional<RouteOwner> o) {
    return o.isPresent() && o.get() instanceof RouteOwner.Local;
  }

  private static boolean canServe(@Nullable List<Upstream> list) {
    return list != null && list.stream().anyMatch(u -> u.health().state() != UpstreamState.LEAVING);
  }

  /** The first-ranked host of the route's data centre; of all hosts when that one has none. */
  private Optional<RouteOwner> owner(RouteKey key, RouteScheduler scheduler) {
    List<HostId> candidates =
        byDataCentre.getOrDefault(key.dataCentre(), List.copyOf(byId.keySet()));
    return RendezvousHash.first(key.toString(), candidates)
        .flatMap(id -> Optional.ofNullable(byId.get(id)))
        .map(m -> owner(m, scheduler));
  }

  private RouteOwner owner(Member m, RouteScheduler scheduler) {
    return m.id().equals(self.id())
        ? new RouteOwner.Local(scheduler)
        : new RouteOwner.Remote(
            new RemoteHost(m.id(), m.info().callers(), roundTripMs.applyAsDouble(m.id())));
  }

  private TrafficSplit split(List<Target> targets, Map<DataCentre, Double> arrivals) {
    var weights = new TreeMap<DataCentre, Integer>();
    targets.forEach(t -> weights.put(t.key().dataCentre(), t.weight()));
    return TrafficSplit.compute(self.info().dataCentre(), arrivals, weights);
  }

  private Map<ServiceName, Map<DataCentre, Double>> arrivals() {
    var arrivals = new TreeMap<ServiceName, Map<DataCentre, Double>>();
    for (Member m : allMembers) {
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
  private List<EntryEndpoint> entries() {
    List<Member> alive = servingMembers.stream().filter(m -> m.status() == MemberStatus.ALIVE).toList();
    List<Member> announced = !alive.isEmpty() ? alive : !servingMembers.isEmpty() ? servingMembers : List.of(self);
    return announced.stream().map(m -> new EntryEndpoint(m.info().callers(), m.info().dataCentre())).toList();
  }
}
