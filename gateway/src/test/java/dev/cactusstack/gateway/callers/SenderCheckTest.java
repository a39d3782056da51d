package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.Link;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ApiKeyDigest;
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
  private static final RouteRule ROUTE = ForwardingFixture.route(5_000);

  private WorkspaceKeys keys = WorkspaceKeys.NONE;
  private boolean configurationMayBeStale;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private Optional<ApiKeyDigest> apiKey = Optional.empty();
  private final UpstreamHeaders headers =
      (UpstreamHeaders)
          Proxy.newProxyInstance(
              UpstreamHeaders.class.getClassLoader(),
              new Class<?>[] {UpstreamHeaders.class},
              (proxy, method, args) ->
                  method.getName().equals("apiKey")
                      ? apiKey
                      : method.invoke(ForwardingFixture.stub(UpstreamHeaders.class), args));
  private final ForwardingFixture host =
      new ForwardingFixture(
          channel.eventLoop(),
          log,
          headers,
          new CallerAuthentication(() -> keys, () -> configurationMayBeStale, headers),
          new HttpClientSettings(100, 100, false, 1_000, 1_000),
          new Link(channel.eventLoop(), log));
  private final List<CallerResponse> responses = new ArrayList<>();

  /** Forwards a request that another host places on the upstream. */
  private String forwardWithPlacement() {
    return forwardWithPlacement(Optional.empty());
  }

  /** Forwards a request that another host places, saying what it knows of the upstream's limit. */
  private String forwardWithPlacement(Optional<RequestLimit> limit) {
    channel.freezeTime();
    host.registerWith("scheduler", SCHEDULER);
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    new ForwardedRequest(host.context, request, "id", ROUTE, Optional.empty(), responses::add)
        .start();
    decide(
        new PlacementDecision.Placed(new PlacementKey(ForwardingFixture.HASH, 1), UPSTREAM, limit));
    log.flush();
    return output.toString(StandardCharsets.UTF_8);
  }

  private void decide(PlacementDecision decision) {
    host.placement.onMessage(new LinkMessage.DecisionMade(decision, 0), SCHEDULER);
  }

  @Test
  void shouldSendARequestWhenTheUpstreamHasSaidNothing() {
    assertThat(forwardWithPlacement()).contains("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenTheUpstreamHasSaidThatItLeaves() {
    host.noticeReader.notices().record(UPSTREAM, new UpstreamNotice(true, 0), 0);
    assertThat(forwardWithPlacement())
        .contains("event=upstream_declined")
        .doesNotContain("event=sent");
  }

  @Test
  void shouldNotSendARequestWhenTheUpstreamHoldsThisHostOff() {
    host.noticeReader.notices().record(UPSTREAM, new UpstreamNotice(false, 20_000), 0);
    assertThat(forwardWithPlacement())
        .contains("event=upstream_declined")
        .doesNotContain("event=sent");
  }

  /** A placement that is turned down is no retry: the budget of this test allows none. */
  @Test
  void shouldRequestAnotherPlacementAndPassOnItsRejection() {
    host.noticeReader.notices().record(UPSTREAM, new UpstreamNotice(true, 0), 0);
    forwardWithPlacement();
    assertThat(responses).isEmpty();
    decide(new PlacementDecision.Rejected(new PlacementKey(ForwardingFixture.HASH, 2), 700));
    assertThat(responses)
        .singleElement()
        .satisfies(response -> assertThat(response.headers().get("Retry-After")).isEqualTo("0.7"));
  }

  /** Records a response that the upstream wrote between 3 s and 2.9 s ago. */
  private void recordLimit(double requestsPerSecond) {
    host.noticeReader
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
    host.noticeReader
        .notices()
        .record(
            earlier,
            new UpstreamNotice(false, 0, Optional.of(new RequestLimit(1, 3_000, 2_900))),
            0);
    assertThat(forwardWithPlacement()).contains("event=sent");
  }

  private void revokeKeyBeforePlacement(Workspace... inForceLater) {
    channel.freezeTime();
    host.registerWith("scheduler", SCHEDULER);
    var acme = new Workspace("acme", Set.of(), OptionalInt.empty(), 0, 0);
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    new ForwardedRequest(host.context, request, "id", ROUTE, Optional.of(acme), responses::add)
        .start();
    keys = new WorkspaceKeys(inForceLater.length == 0 ? List.of(acme) : List.of(inForceLater));
    decide(
        new PlacementDecision.Placed(
            new PlacementKey(ForwardingFixture.HASH, 1), UPSTREAM, Optional.empty()));
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
