package dev.cactusstack.host.control;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.decisions.state.Observation;
import dev.cactusstack.host.callers.RouteScheduler;
import dev.cactusstack.host.callers.RoutingView;
import dev.cactusstack.host.callers.Upstream;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.ListedHost;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.storage.HostChanges;
import dev.cactusstack.storage.HostList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the upstreams of every route and publishes the routing snapshot.
 *
 * <p>Confined to the control loop, except {@link #view} and {@link #schedulers}.
 */
public final class UpstreamsController {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final long MIN_HOST_LIST_INTERVAL_MS = 1_000;
  private static final long RATE_UPDATE_INTERVAL_MS = 5_000;
  private static final long STATE_EXPIRY_INTERVAL_MS = 1_000;

  /** Reads of the host list by all hosts together, per second. */
  private static final int MAX_HOST_LIST_READS_PER_SECOND = 100;

  private final HostList hostList;
  private final MembershipController members;
  private final Executor loop;
  private final Ticker ticker;
  private final LoadBalancingPolicy policy;
  private final int queueLength;
  private final Map<RouteKey, RouteScheduler> schedulers = new HashMap<>();
  private final Map<Address, Upstream> upstreams = new HashMap<>();
  private Map<Address, ListedHost> listedHosts = new TreeMap<>();
  private ConfigurationTable table = ConfigurationTable.EMPTY;
  private long revision;
  private Set<MemberState> memberStates = Set.of();
  private boolean ratesChanged;
  private long nextRateUpdateAtMs;
  private long nextStateExpiryAtMs;
  private boolean reading;
  private long nextReadAtMs;
  private volatile RoutingView view;
  private volatile Map<RouteKey, RouteScheduler> publishedSchedulers = Map.of();

  /**
   * Creates a controller without upstreams.
   *
   * @param hostList the platform's host list
   * @param members the group
   * @param loop the control loop
   * @param ticker the clock
   * @param policy chooses among the upstreams of a route
   * @param queueLength most requests waiting for a route
   */
  public UpstreamsController(
      HostList hostList,
      MembershipController members,
      Executor loop,
      Ticker ticker,
      LoadBalancingPolicy policy,
      int queueLength) {
    this.hostList = Objects.requireNonNull(hostList, "hostList is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.loop = Objects.requireNonNull(loop, "loop is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.policy = Objects.requireNonNull(policy, "policy is null");
    this.queueLength = queueLength;
    this.view = viewBuilder().build(table, Map.of(), Map.of());
  }

  /**
   * Returns the routing snapshot in force. Thread-safe.
   *
   * @return the snapshot
   */
  public RoutingView view() {
    return view;
  }

  /**
   * Returns the schedulers of the routes that this host has owned. Thread-safe.
   *
   * @return a snapshot by route
   */
  public Map<RouteKey, RouteScheduler> schedulers() {
    return publishedSchedulers;
  }

  void tick() {
    long now = ticker.millis();
    if (!reading && now >= nextReadAtMs) {
      read(now);
    }
    if (now >= nextStateExpiryAtMs) {
      nextStateExpiryAtMs = now + STATE_EXPIRY_INTERVAL_MS;
      upstreams.values().forEach(u -> u.expireState(ticker.nanos()));
    }
    rebuildIfDue(now);
    // A pause after failures ends with time, not with an event.
    schedulers.values().forEach(RouteScheduler::grantQueued);
  }

  private void read(long now) {
    reading = true;
    long fairIntervalMs = 1_000L * members.members().size() / MAX_HOST_LIST_READS_PER_SECOND;
    nextReadAtMs = now + Math.max(MIN_HOST_LIST_INTERVAL_MS, fairIntervalMs);
    hostList
        .readHostChanges(revision)
        .whenComplete((changes, t) -> loop.execute(() -> finishRead(changes)));
  }

  private void finishRead(@Nullable HostChanges changes) {
    reading = false;
    if (changes == null || changes.revision() == revision && !listedHosts.isEmpty()) {
      return;
    }
    revision = changes.revision();
    Map<Address, ListedHost> before = listedHosts;
    listedHosts = changes.applyTo(before);
    members.updateListedHosts(
        listedHosts.values().stream()
            .filter(h -> h.role() == ListedHost.Role.ENTRY)
            .map(ListedHost::address)
            .toList());
    updateLeavingStates(before);
    rebuild();
  }

  private void updateLeavingStates(Map<Address, ListedHost> before) {
    upstreams.forEach(
        (address, u) -> {
          ListedHost old = before.get(address);
          ListedHost now = listedHosts.get(address);
          boolean wasLeaving = old != null && old.leaving();
          if (now != null && now.leaving() && !wasLeaving) {
            u.observe(new Observation.ReportedLeaving(), ticker.millis());
            LOG.atInfo().log("%s", Event.named("upstream_leaving").with("address", address));
          } else if (now != null && !now.leaving() && wasLeaving) {
            u.observe(new Observation.ListedActive(), ticker.millis());
          }
        });
  }

  void onTableChange(ConfigurationTable next) {
    table = next;
    rebuild();
  }

  /**
   * Follows the group. What decides on owners and entries is taken over at once; arrival rates,
   * which change all the time, are taken over a few times a minute.
   */
  void onMembersChange(SortedMap<HostId, Member> now) {
    Set<MemberState> next = new HashSet<>();
    now.values().forEach(m -> next.add(MemberState.of(m)));
    if (!next.equals(memberStates)) {
      memberStates = next;
      rebuild();
    } else {
      ratesChanged = true;
    }
  }

  private void rebuildIfDue(long now) {
    if (ratesChanged && now >= nextRateUpdateAtMs) {
      rebuild();
    }
  }

  /** What of a member decides on owners and entries. */
  private record MemberState(HostId id, long incarnation, boolean alive, boolean serving) {
    static MemberState of(Member m) {
      return new MemberState(m.id(), m.incarnation(), m.status() == MemberStatus.ALIVE, m.isServing());
    }
  }

  private void rebuild() {
    ratesChanged = false;
    nextRateUpdateAtMs = ticker.millis() + RATE_UPDATE_INTERVAL_MS;
    Map<RouteKey, List<Upstream>> byRoute = upstreamsByRoute();
    for (Route r : table.routes().values()) {
      schedulers
          .computeIfAbsent(r.key(), k -> new RouteScheduler(k, policy, ticker))
          .configure(
              byRoute.getOrDefault(r.key(), List.of()), r.limit(), r.upstreamLimit(), queueLength);
    }
    RoutingView before = view;
    RoutingView after = viewBuilder().build(table, byRoute, schedulers);
    view = after;
    publishedSchedulers = Map.copyOf(schedulers);
    handOverRoutes(before, after);
  }

  /** Sends waiting requests away from routes that another host owns now. */
  private void handOverRoutes(RoutingView before, RoutingView after) {
    schedulers.forEach(
        (key, s) -> {
          boolean was = RoutingViewBuilder.isLocal(before.owner(key));
          boolean is = RoutingViewBuilder.isLocal(after.owner(key));
          if (was && !is) {
            s.rejectAll(ownerChanged(key));
          } else if (!was && is) {
            // Another host, or nobody, has used the upstreams since this one last did.
            s.upstreams().forEach(u -> u.observe(new Observation.StateExpired(), ticker.millis()));
          }
        });
  }

  private RoutingViewBuilder viewBuilder() {
    return new RoutingViewBuilder(members.self(), members.members().values(), members::roundTripMs);
  }

  private static Problem ownerChanged(RouteKey key) {
    return new Problem(
        ProblemKind.MISDIRECTED,
        "another host owns " + key + " now",
        "the sender repeats the request");
  }

  private Map<RouteKey, List<Upstream>> upstreamsByRoute() {
    upstreams.keySet().retainAll(listedHosts.keySet());
    var byRoute = new TreeMap<RouteKey, List<Upstream>>();
    for (ListedHost h : listedHosts.values()) {
      h.service()
          .filter(s -> h.role() == ListedHost.Role.UPSTREAM)
          .ifPresent(
              s ->
                  byRoute
                      .computeIfAbsent(
                          new RouteKey(s, h.dataCentre()), k -> new java.util.ArrayList<>())
                      .add(upstreamFor(h)));
    }
    return byRoute;
  }

  private Upstream upstreamFor(ListedHost h) {
    return upstreams.computeIfAbsent(
        h.address(),
        a -> {
          var u = new Upstream(a);
          if (h.leaving()) {
            u.observe(new Observation.ReportedLeaving(), ticker.millis());
          }
          return u;
        });
  }
}
