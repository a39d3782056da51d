package dev.cactusstack.embedded;

import static dev.cactusstack.embedded.TestCluster.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.UpstreamStandIn;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests hosts and upstreams that shut down, crash and start while requests are served. */
class HostFaultsTest {
  private TestCluster cluster;

  @BeforeEach
  void start() throws InterruptedException {
    cluster = new TestCluster(4);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  private String entries() throws Exception {
    return cluster.sendRaw(
        0,
        "GET /.well-known/cactusstack/entries?service=search HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }

  @Test
  void shouldKeepServingAndExcludeTheHostFromLookupsWhenItCrashes() throws Exception {
    String crashedAddress = cluster.host(1).callerAddress().toString();
    assertThat(entries())
        .contains(crashedAddress)
        .contains("\"ttl_ms\":5000")
        .contains("max-age=5");
    cluster.host(1).close();
    eventually(() -> !entries().contains(crashedAddress));
    eventually(() -> cluster.call(0, "search").startsWith("HTTP/1.1 200"));
    for (int i = 0; i < 30; i++) {
      assertThat(cluster.call(0, "booking")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void shouldCompleteRequestsInFlightWhenAHostShutsDownGracefully() throws Exception {
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return cluster.slowUpload(2, "booking");
              } catch (Exception e) {
                return e.toString();
              }
            });
    eventually(() -> cluster.host(2).inFlight() > 0);
    int cutOff = cluster.host(2).shutDownGracefully();
    assertThat(cutOff).isZero();
    assertThat(slow.get()).startsWith("HTTP/1.1 200");
    assertThat(entries()).doesNotContain(cluster.host(2).callerAddress().toString());
  }

  @Test
  void shouldLoadTheConfigurationFromAnotherHostWhenTheTableServiceIsDown() throws Exception {
    assertThat(cluster.ctl(0, "table", "set", "search", "almaty-1", "weight=77").code()).isZero();
    cluster.standIns.platform().setFaults(new PlatformFaults(false, 0, 0, true));
    var spec =
        new HostSpec(
            "late-host",
            "almaty-1",
            FreePorts.next(),
            FreePorts.next(),
            FreePorts.next(),
            cluster.standIns.platform().port(),
            "");
    EntryHost newHost =
        EntryHost.start(
            spec.settings(Map.of()),
            Ticker.SYSTEM,
            InstantSource.system(),
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY);
    try {
      eventually(() -> newHost.controllers().configuration().inForce().version() >= 2);
      assertThat(newHost.controllers().configuration().isStoreReachable()).isFalse();
    } finally {
      newHost.close();
    }
  }

  @Test
  void shouldReportNoConfigurationWhenNeitherPlatformNorPeersAreReachable() throws Exception {
    var spec =
        new HostSpec(
            "lone-host", "almaty-1", FreePorts.next(), FreePorts.next(), FreePorts.next(), 1, "");
    EntryHost isolatedHost =
        EntryHost.start(
            spec.settings(Map.of()),
            Ticker.SYSTEM,
            InstantSource.system(),
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY);
    try (var socket = new java.net.Socket("127.0.0.1", isolatedHost.callerAddress().port())) {
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: search\r\nConnection: close\r\n\r\n".getBytes());
      assertThat(new String(socket.getInputStream().readAllBytes()))
          .startsWith("HTTP/1.1 503")
          .contains("no-configuration")
          .contains("not-run");
    } finally {
      isolatedHost.close();
    }
  }

  @Test
  void shouldStopSendingRequestsWhenAnUpstreamIsListedAsLeaving() throws Exception {
    UpstreamStandIn leaving = cluster.standIns.upstreams().get(0);
    cluster.standIns.registerUpstream(leaving, true);
    eventually(() -> cluster.ctl(0, "status").text().contains(leaving.address() + "  leaving"));
    long before = leaving.executedRequests();
    for (int i = 0; i < 100; i++) {
      assertThat(cluster.call(i % 4, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(leaving.executedRequests()).isEqualTo(before);
  }

  @Test
  void shouldStayWithinTheConcurrencyLimitWhenAnUpstreamIsCold() throws Exception {
    UpstreamStandIn cold = cluster.standIns.upstreams().get(0);
    for (int i = 0; i < 100; i++) {
      cluster.call(i % 4, "search");
    }
    cold.makeCold();
    cold.resetCounters();
    for (int i = 0; i < 300; i++) {
      assertThat(cluster.call(i % 4, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(cold.rejectedWhileCold()).isLessThanOrEqualTo(1);
  }
}
