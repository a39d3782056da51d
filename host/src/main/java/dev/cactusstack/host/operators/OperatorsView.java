package dev.cactusstack.host.operators;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.host.callers.RouteOwner;
import dev.cactusstack.host.callers.RouteScheduler;
import dev.cactusstack.host.callers.RoutingView;
import dev.cactusstack.host.callers.Upstream;
import dev.cactusstack.host.control.ConfigurationController;
import dev.cactusstack.host.control.MembershipController;
import dev.cactusstack.host.control.UpstreamsController;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.Route;
import dev.cactusstack.model.RouteKey;
import java.util.Collection;
import java.util.Objects;

/** Creates the response bodies of queries from operators. Thread-safe. */
public final class OperatorsView {
  private final HostId self;
  private final ConfigurationController configuration;
  private final MembershipController members;
  private final UpstreamsController upstreams;
  private final Ticker ticker;

  /**
   * Creates a view.
   *
   * @param self this host
   * @param configuration the configuration in force
   * @param members the members of the group
   * @param upstreams the routes and their upstreams
   * @param ticker the clock
   */
  public OperatorsView(
      HostId self,
      ConfigurationController configuration,
      MembershipController members,
      UpstreamsController upstreams,
      Ticker ticker) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
  }

  ObjectNode table() {
    ConfigurationTable t = configuration.inForce();
    ObjectNode n = Json.newObject().put("version", t.version());
    ArrayNode rows = n.putArray("rows");
    t.routes().values().forEach(r -> rows.add(JsonResponses.row(r)));
    ArrayNode dataCentres = n.putArray("data_centres");
    t.dataCentres()
        .values()
        .forEach(
            d ->
                dataCentres
                    .addObject()
                    .put("data_centre", d.dataCentre().value())
                    .put("out", d.evacuated())
                    .put("version", d.version()));
    return n;
  }

  ObjectNode inForce() {
    Collection<Member> hosts = hosts();
    long newestVersion =
        hosts.stream()
            .mapToLong(m -> m.info().configVersion())
            .reduce(configuration.newestVersion(), Math::max);
    long upToDate = hosts.stream().filter(m -> m.info().configVersion() >= newestVersion).count();
    ObjectNode n =
        Json.newObject()
            .put("version", newestVersion)
            .put("in_force", upToDate)
            .put("hosts_total", hosts.size())
            .put("table_service_reachable", configuration.isStoreReachable());
    ArrayNode fields = n.putArray("hosts");
    hosts.forEach(m -> fields.add(hostFields(m)));
    return n;
  }

  /** Returns the hosts that may serve callers. */
  private Collection<Member> hosts() {
    return members.members().values().stream()
        .filter(m -> m.status() != MemberStatus.DEAD || mayBeCutOff(m))
        .toList();
  }

  /** A host that is considered dead may only be cut off from this one, and serve all the same. */
  private boolean mayBeCutOff(Member m) {
    return !m.info().leaving() && members.isListed(m.info().link());
  }

  private static ObjectNode hostFields(Member m) {
    return Json.newObject()
        .put("id", m.id().value())
        .put("data_centre", m.info().dataCentre().value())
        .put("status", m.info().leaving() ? "leaving" : m.status().label())
        .put("version", m.info().configVersion())
        .put("callers", m.info().callers().toString())
        .put("operators", m.info().operators().toString());
  }

  ObjectNode status() {
    ObjectNode n = inForce().put("host", self.value());
    n.set("data_centres", table().path("data_centres"));
    n.set("upstreams", ownedUpstreams());
    return n;
  }

  private ArrayNode ownedUpstreams() {
    ArrayNode list = Json.newObject().putArray("upstreams");
    RoutingView view = upstreams.view();
    for (Route r : configuration.inForce().routes().values()) {
      if (view.owner(r.key()).orElse(null) instanceof RouteOwner.Local l) {
        addUpstreams(list, r, l.scheduler());
      }
    }
    return list;
  }

  private void addUpstreams(ArrayNode list, Route route, RouteScheduler scheduler) {
    RouteKey key = route.key();
    int operatorLimit = route.upstreamLimit();
    for (Upstream u : scheduler.upstreams()) {
      list.addObject()
          .put("address", u.address().toString())
          .put("service", key.service().value())
          .put("data_centre", key.dataCentre().value())
          .put("state", u.health().state().label())
          .put("in_flight", u.inFlight())
          .put("limit", u.health().effectiveLimit(operatorLimit, ticker.millis()))
          .put("latency_ms", Math.round(u.health().latencyMs() * 100) / 100.0)
          .put("owner", self.value());
    }
  }
}
