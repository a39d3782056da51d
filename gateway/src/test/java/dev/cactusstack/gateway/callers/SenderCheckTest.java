package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.control.UpstreamsController;
import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.LimitShares;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.scheduling.LocalSchedulers;
import dev.cactusstack.gateway.scheduling.NoticeReader;
import dev.cactusstack.gateway.scheduling.PlacementClient;
import dev.cactusstack.gateway.scheduling.QuotaClient;
import dev.cactusstack.gateway.scheduling.QuotaOwners;
import dev.cactusstack.gateway.scheduling.UpstreamProber;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.UpstreamRegistration;
import dev.cactusstack.model.site.Workspace;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is sent to an upstream that wants none from this host, because
 * another host placed it without knowing.
 */
class SenderCheckTest {
  private static final Address SCHEDULER = new Address("127.0.0.1", 9);
  private static final UpstreamRegistration UPSTREAM =
      new UpstreamRegistration("u", "s", new Address("127.0.0.1", 1), "dc", 4, false, 0, 1, 1);
  private static final RouteRule ROUTE =
      new RouteRule(
          "r",
          "h",
          "/",
          RequestKind.IDEMPOTENT,
          5_000,
          2_000,
          1,
          1,
          List.of(new RouteRule.WeightedService("s", 1)));

  private WorkspaceKeys keys = WorkspaceKeys.NONE;
  private boolean configurationMayBeStale;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private final PeerTable peers = new PeerTable("self", 3_500, new Random(1));
  private Optional<ApiKeyDigest> apiKey = Optional.empty();
  private final UpstreamHeaders headers =
      (UpstreamHeaders)
          Proxy.newProxyInstance(
              UpstreamHeaders.class.getClassLoader(),
              new Class<?>[] {UpstreamHeaders.class},
              (proxy, method, args) ->
                  method.getName().equals("apiKey")
                      ? apiKey
                      : method.invoke(stub(UpstreamHeaders.class), args));
  private final NoticeReader noticeReader = new NoticeReader(() -> 0L, log, headers);
  private final HttpClient client =
      new HttpClient(
          channel.eventLoop(), new HttpClientSettings(100, 100, false, 1_000, 1_000), () -> 0L);
  private final PlacementClient placement =
      new PlacementClient(
          channel.eventLoop(),
          () -> 0L,
          log,
          new Link(channel.eventLoop(), log),
          peers,
          new LocalSchedulers(
              channel.eventLoop(),
              () -> 0L,
              log,
              new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5),
              new UpstreamsController(
                  channel.eventLoop(),
                  () -> 0L,
                  () -> 0L,
                  log,
                  stub(SiteStore.class),
                  Optional::empty,
                  () -> false),
              new UpstreamProber(client, headers, noticeReader),
              new LimitShares(peers, PeerTable.hash("self"), () -> true),
              () -> false,
              new Random(1),
              PeerTable.hash("self")),
          noticeReader.notices(),
          "self",
          0);
  private final ForwardingContext context =
      new ForwardingContext(
          "dc",
          channel.eventLoop(),
          () -> 0L,
          log,
          headers,
          new CallerAuthentication(() -> keys, () -> configurationMayBeStale, headers),
          client,
          placement,
          new QuotaClient(
              channel.eventLoop(),
              () -> 0L,
              log,
              new Link(channel.eventLoop(), log),
              PeerTable.hash("self"),
              new QuotaOwners(
                  () -> 0L, log, peers, PeerTable.hash("self"), () -> true, Optional::empty),
              placement::nextKey),
          noticeReader,
          new ForwardingContext.RetryBudget(1_000, 0, () -> 0),
          Optional.empty(),
          new GatewayMetrics());
  private final List<CallerResponse> responses = new ArrayList<>();

  /** Returns an object whose methods return empty or null, as no message is read here. */
  private static <T> T stub(Class<T> type) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, args) ->
                method.getReturnType() == OptionalLong.class
                    ? OptionalLong.empty()
                    : method.getReturnType() == Optional.class ? Optional.empty() : null));
  }

  private void register(String name, Address address, int milliCores) {
    peers.recordStart(new HostRegistration(name, "dc", address, address, milliCores, 1), 0);
    peers.mergeHeartbeats(
        List.of(new HeartbeatState(PeerTable.hash(name), 1, 1, false, StoreContact.UNKNOWN, true)),
        0);
  }

  /** Forwards a request that another host places on the upstream. */
  private String forwardWithPlacement() {
    return forwardWithPlacement(Optional.empty());
  }

  /** Forwards a request that another host places, saying what it knows of the upstream's limit. */
  private String forwardWithPlacement(Optional<RequestLimit> limit) {
    channel.freezeTime();
    register("self", new Address("127.0.0.1", 8), 600);
    register("scheduler", SCHEDULER, 6_000);
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    new ForwardedRequest(context, request, "id", ROUTE, Optional.empty(), responses::add).start();
    decide(
        new PlacementDecision.Placed(new PlacementKey(PeerTable.hash("self"), 1), UPSTREAM, limit));
    log.flush();
    return output.toString(StandardCharsets.UTF_8);
  }

  private void decide(PlacementDecision decision) {
    placement.onMessage(new LinkMessage.DecisionMade(decision, 0), SCHEDULER);
  }

  @Test
  void shouldSendARequestWhenTheUpstreamHasSaidNothing() {
    assertThat(forwardWithPlacement()).contains("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenTheUpstreamHasSaidThatItLeaves() {
    noticeReader.notices().record(UPSTREAM, new UpstreamNotice(true, 0), 0);
    assertThat(forwardWithPlacement())
        .contains("event=upstream_declined")
        .doesNotContain("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenTheUpstreamHoldsThisHostOff() {
    noticeReader.notices().record(UPSTREAM, new UpstreamNotice(false, 20_000), 0);
    assertThat(forwardWithPlacement())
        .contains("event=upstream_declined")
        .doesNotContain("event=sent");
  }

  /** A placement that is turned down is no retry: the budget of this test allows none. */
  @Test
  void shouldRequestAnotherPlacementAndPassOnItsRejection() {
    noticeReader.notices().record(UPSTREAM, new UpstreamNotice(true, 0), 0);
    forwardWithPlacement();
    assertThat(responses).isEmpty();
    decide(new PlacementDecision.Rejected(new PlacementKey(PeerTable.hash("self"), 2), 700));
    assertThat(responses)
        .singleElement()
        .satisfies(response -> assertThat(response.headers().get("Retry-After")).isEqualTo("0.7"));
  }

  /** Records a response that the upstream wrote between 3 s and 2.9 s ago. */
  private void recordLimit(double requestsPerSecond) {
    noticeReader
        .notices()
        .record(
            UPSTREAM,
            new UpstreamNotice(
                false, 0, Optional.of(new RequestLimit(requestsPerSecond, 3_000, 2_900))),
            0);
  }

  @Test
  void shouldSendARequestWhenItsPlacementWasCountedAgainstTheLimit() {
    recordLimit(1.5);
    assertThat(forwardWithPlacement(Optional.of(new RequestLimit(1.5, 5_000, 4_900))))
        .contains("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenItsPlacementWasNotCountedAgainstTheLimit() {
    recordLimit(1.5);
    assertThat(forwardWithPlacement())
        .contains("event=upstream_declined", "why=limited")
        .doesNotContain("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenTheSchedulerKnowsOnlyOfAnEarlierWithdrawal() {
    recordLimit(1.5);
    assertThat(
            forwardWithPlacement(
                Optional.of(new RequestLimit(RequestLimit.UNLIMITED, 5_000, 4_900))))
        .contains("event=upstream_declined", "why=limited")
        .doesNotContain("event=sent");
  }

  @Test
  void shouldSendARequestWhenTheSchedulerKnowsThatTheLimitWasWithdrawnLater() {
    recordLimit(1.5);
    assertThat(
            forwardWithPlacement(Optional.of(new RequestLimit(RequestLimit.UNLIMITED, 900, 800))))
        .contains("event=sent");
  }

  /** A limit of another start of the upstream is not a limit of this one. */
  @Test
  void shouldSendARequestWhenAnEarlierStartOfTheUpstreamNamedTheLimit() {
    var earlier =
        new UpstreamRegistration("u", "s", new Address("127.0.0.1", 1), "dc", 4, false, 0, 0, 1);
    noticeReader
        .notices()
        .record(
            earlier,
            new UpstreamNotice(false, 0, Optional.of(new RequestLimit(1, 3_000, 2_900))),
            0);
    assertThat(forwardWithPlacement()).contains("event=sent");
  }

  private void revokeKeyBeforePlacement(Workspace... inForceLater) {
    channel.freezeTime();
    register("self", new Address("127.0.0.1", 8), 600);
    register("scheduler", SCHEDULER, 6_000);
    var acme = new Workspace("acme", Set.of(), OptionalInt.empty(), 0, 0);
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    new ForwardedRequest(context, request, "id", ROUTE, Optional.of(acme), responses::add).start();
    keys = new WorkspaceKeys(inForceLater.length == 0 ? List.of(acme) : List.of(inForceLater));
    decide(
        new PlacementDecision.Placed(
            new PlacementKey(PeerTable.hash("self"), 1), UPSTREAM, Optional.empty()));
    log.flush();
  }

  /** Guards against a key that was checked only when the request arrived. */
  @Test
  void shouldAnswer401WhenTheKeyWasRevokedWhileTheRequestWaited() {
    revokeKeyBeforePlacement();
    assertThat(responses)
        .singleElement()
        .satisfies(
            response -> {
              assertThat(response.status()).isEqualTo(401);
              assertThat(response.headers().get("WWW-Authenticate")).isEqualTo("Bearer");
              assertThat(response.headers().contains("Retry-After")).isFalse();
            });
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("event=refused", "workspace=acme", "why=unauthorized")
        .doesNotContain("event=sent");
  }

  /** The newer configuration that lacks the key is known, so there is nothing to wait for. */
  @Test
  void shouldAnswer401WhenTheKeyWasRevokedAndTheConfigurationMayBeStaleSince() {
    configurationMayBeStale = true;
    revokeKeyBeforePlacement();
    assertThat(responses)
        .singleElement()
        .satisfies(response -> assertThat(response.status()).isEqualTo(401));
  }

  /** Guards against a request that runs for a workspace that granted no permit for it. */
  @Test
  void shouldAnswer503WhenTheKeyMovedToAWorkspaceWithAQuotaWhileTheRequestWaited() {
    apiKey = Optional.of(ApiKeyDigest.of("key"));
    revokeKeyBeforePlacement(
        new Workspace("other", Set.of(apiKey.get()), OptionalInt.empty(), 5, 5));
    assertThat(responses)
        .singleElement()
        .satisfies(
            response -> {
              assertThat(response.status()).isEqualTo(503);
              assertThat(response.headers().contains("Retry-After")).isTrue();
            });
    assertThat(output.toString(StandardCharsets.UTF_8)).doesNotContain("event=sent");
  }
}
