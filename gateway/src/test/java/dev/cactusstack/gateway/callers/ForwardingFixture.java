package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.gateway.control.UpstreamsController;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.LimitShares;
import dev.cactusstack.gateway.scheduling.LocalSchedulers;
import dev.cactusstack.gateway.scheduling.MessageSender;
import dev.cactusstack.gateway.scheduling.NoticeReader;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.QuotaClient;
import dev.cactusstack.gateway.scheduling.QuotaOwners;
import dev.cactusstack.gateway.scheduling.UpstreamProber;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RouteRule;
import io.netty.channel.EventLoop;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/**
 * What forwarded requests of one host need, at time 0 and with an empty store. The host neither
 * places requests nor owns quotas if a larger one is registered. Confined to the event loop.
 */
final class ForwardingFixture {
  private static final String SELF = "self";
  static final int HASH = PeerTable.hash(SELF);

  final PeerTable peers = new PeerTable(SELF, 3_500, new Random(1));
  final NoticeReader noticeReader;
  final PlacementClient placement;
  final QuotaClient quotas;
  final ForwardingContext context;

  ForwardingFixture(
      EventLoop loop,
      EventLog log,
      UpstreamHeaders headers,
      CallerAuthentication authentication,
      HttpClientSettings clientSettings,
      MessageSender link) {
    noticeReader = new NoticeReader(() -> 0L, log, headers);
    var client = new HttpClient(loop, clientSettings, () -> 0L);
    placement =
        new PlacementClient(
            loop,
            () -> 0L,
            log,
            link,
            peers,
            schedulers(loop, log, new UpstreamProber(client, headers, noticeReader)),
            noticeReader.notices(),
            SELF,
            0);
    quotas =
        new QuotaClient(
            loop,
            () -> 0L,
            log,
            link,
            HASH,
            new QuotaOwners(() -> 0L, log, peers, HASH, () -> true, Optional::empty),
            placement::nextKey);
    context =
        new ForwardingContext(
            "dc",
            loop,
            () -> 0L,
            log,
            headers,
            authentication,
            client,
            placement,
            quotas,
            noticeReader,
            new ForwardingContext.RetryBudget(1_000, 0, () -> 0),
            Optional.empty(),
            new GatewayMetrics());
  }

  private LocalSchedulers schedulers(EventLoop loop, EventLog log, UpstreamProber prober) {
    return new LocalSchedulers(
        loop,
        () -> 0L,
        log,
        new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5),
        new UpstreamsController(
            loop, () -> 0L, () -> 0L, log, stub(SiteStore.class), Optional::empty, () -> false),
        prober,
        new LimitShares(peers, HASH, () -> true),
        () -> false,
        new Random(1),
        HASH);
  }

  /** Returns a route of idempotent requests to one service, with one attempt. */
  static RouteRule route(long timeoutMs) {
    return new RouteRule(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        timeoutMs,
        2_000,
        1,
        1,
        List.of(new RouteRule.WeightedService("s", 1)));
  }

  /** Returns an object whose methods return empty or null. */
  static <T> T stub(Class<T> type) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, args) ->
                method.getReturnType() == OptionalLong.class
                    ? OptionalLong.empty()
                    : method.getReturnType() == Optional.class ? Optional.empty() : null));
  }

  /** Registers this host and a larger one that places requests and owns quotas. */
  void registerWith(String larger, Address address) {
    register(SELF, new Address("127.0.0.1", 8), 600);
    register(larger, address, 6_000);
  }

  private void register(String name, Address address, int milliCores) {
    peers.recordStart(new HostRegistration(name, "dc", address, address, milliCores, 1), 0);
    peers.mergeHeartbeats(
        List.of(new HeartbeatState(PeerTable.hash(name), 1, 1, false, StoreContact.UNKNOWN, true)),
        0);
  }
}
