package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.net.HttpClientSettings;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.scheduling.LinkMessage;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.UpstreamRegistration;
import dev.cactusstack.model.site.Workspace;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The permit of a forwarded request, which another host grants. */
class ForwardedQuotaTest {
  private static final Address OWNER = new Address("127.0.0.1", 9);
  private static final RouteRule ROUTE = ForwardingFixture.route(60_000);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private final UpstreamHeaders headers = ForwardingFixture.stub(UpstreamHeaders.class);
  private final List<LinkMessage> sent = new CopyOnWriteArrayList<>();
  private final BlockingQueue<CallerResponse> responses = new LinkedBlockingQueue<>();

  /** Ports of the upstreams on which requests are placed; further requests are rejected. */
  private final List<Integer> ports = new CopyOnWriteArrayList<>();

  private volatile QuotaDecision permit = QuotaDecision.GRANTED;
  private final ForwardingFixture host =
      new ForwardingFixture(
          loop,
          log,
          headers,
          new CallerAuthentication(() -> WorkspaceKeys.NONE, () -> false, headers),
          new HttpClientSettings(5_000, 5_000, false, 1_000, 1_000),
          this::send);

  ForwardedQuotaTest() {
    host.registerWith("owner", OWNER);
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Sends a message to the host that owns the quota and places requests; it answers at once. */
  private void send(LinkMessage message, Address to) {
    sent.add(message);
    if (message instanceof LinkMessage.QuotaRequested requested) {
      var decided = new LinkMessage.QuotaDecided(requested.key(), permit);
      loop.execute(() -> host.quotas.onMessage(decided, to));
    } else if (message instanceof LinkMessage.RequestSubmitted submitted) {
      PlacementKey key = submitted.request().key();
      int port = ports.isEmpty() ? 0 : ports.remove(0);
      PlacementDecision decision =
          port == 0
              ? new PlacementDecision.Rejected(key, 50)
              : new PlacementDecision.Placed(key, upstream(port));
      loop.execute(() -> host.placement.onMessage(new LinkMessage.DecisionMade(decision, 0), to));
    }
  }

  private ForwardedRequest start(double rate) {
    var workspace = new Workspace("w", Set.of(), OptionalInt.empty(), rate, 30);
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    var forwarded =
        new ForwardedRequest(
            host.context, request, "id", ROUTE, Optional.of(workspace), responses::add);
    loop.submit(forwarded::start).syncUninterruptibly();
    return forwarded;
  }

  private void cancelTwice(ForwardedRequest forwarded) {
    loop.submit(forwarded::cancel).syncUninterruptibly();
    loop.submit(forwarded::cancel).syncUninterruptibly();
  }

  private int awaitStatus() throws InterruptedException {
    CallerResponse response = responses.poll(10, TimeUnit.SECONDS);
    return response == null ? 0 : response.status();
  }

  private <T> long count(Class<T> type) {
    return sent.stream().filter(type::isInstance).count();
  }

  /** Guards against slots, tokens and retries that a request over its quota uses. */
  @Test
  void shouldAnswer429AndAskForNoPlacementWhenThePermitIsRefused() throws Exception {
    permit = QuotaDecision.refused(700);
    start(12.5);
    CallerResponse response = responses.poll(10, TimeUnit.SECONDS);
    assertThat(response).isNotNull().extracting(CallerResponse::status).isEqualTo(429);
    assertThat(response.headers().get("Retry-After")).isEqualTo("0.7");
    log.flush();
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("event=refused", "workspace=w why=over-quota rate=12.5 burst=30.0")
        .contains("retry_ms=700");
    assertThat(sent).hasSize(1);
  }

  @Test
  void shouldSendNoMessageOnQuotasWhenTheWorkspaceHasNone() throws Exception {
    start(0);
    assertThat(awaitStatus()).isEqualTo(503);
    assertThat(sent).hasSize(1);
    assertThat(count(LinkMessage.RequestSubmitted.class)).isEqualTo(1);
  }

  @Test
  void shouldReturnThePermitOnceWhenThePlacementIsRejected() throws Exception {
    ForwardedRequest forwarded = start(12.5);
    assertThat(awaitStatus()).isEqualTo(503);
    cancelTwice(forwarded);
    assertThat(count(LinkMessage.QuotaRequested.class)).isEqualTo(1);
    assertThat(count(LinkMessage.QuotaReturned.class)).isEqualTo(1);
  }

  /** Guards against a permit that is lost when its caller leaves before the answer. */
  @Test
  void shouldReturnThePermitOnceWhenTheCallerLeavesWhileItIsPending() {
    var request = new CallerRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 0);
    var workspace = new Workspace("w", Set.of(), OptionalInt.empty(), 12.5, 30);
    var forwarded =
        new ForwardedRequest(
            host.context, request, "id", ROUTE, Optional.of(workspace), responses::add);
    Runnable startAndLeave =
        () -> {
          forwarded.start();
          forwarded.cancel();
        };
    loop.submit(startAndLeave).syncUninterruptibly();
    cancelTwice(forwarded);
    assertThat(count(LinkMessage.QuotaReturned.class)).isEqualTo(1);
    assertThat(count(LinkMessage.RequestSubmitted.class)).isZero();
  }

  /** Guards against a permit that is returned although an upstream may have run the request. */
  @Test
  void shouldKeepThePermitWhenTheCallerLeavesAfterTheRequestWasSent() throws Exception {
    try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ports.add(server.getLocalPort());
      ForwardedRequest forwarded = start(12.5);
      awaitRequest(server);
      cancelTwice(forwarded);
      assertThat(count(LinkMessage.AttemptsEnded.class)).isEqualTo(1);
      assertThat(count(LinkMessage.QuotaReturned.class)).isZero();
    }
  }

  /** Guards against a permit that is lost when no upstream could be reached. */
  @Test
  void shouldReturnThePermitOnceWhenNoAttemptReachedAnUpstream() throws Exception {
    try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ports.add(server.getLocalPort());
    }
    start(12.5);
    assertThat(awaitStatus()).isEqualTo(503);
    assertThat(count(LinkMessage.RequestSubmitted.class)).isEqualTo(2);
    assertThat(count(LinkMessage.QuotaRequested.class)).isEqualTo(1);
    assertThat(count(LinkMessage.QuotaReturned.class)).isEqualTo(1);
  }

  private static UpstreamRegistration upstream(int port) {
    return new UpstreamRegistration(
        "u", "s", new Address("127.0.0.1", port), "dc", 4, false, 0, 1, 1);
  }

  private static void awaitRequest(ServerSocket server) throws IOException {
    server.setSoTimeout(10_000);
    Socket connection = server.accept();
    connection.setSoTimeout(10_000);
    assertThat(connection.getInputStream().read()).isEqualTo('G');
  }
}
