package dev.cactusstack.embedded;

import static dev.cactusstack.embedded.TestSite.eventually;
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

/** Hosts and upstreams that leave, crash and start while requests go on. */
class HostFaultsTest {
  private TestSite test;

  @BeforeEach
  void start() throws InterruptedException {
    test = new TestSite(4);
  }

  @AfterEach
  void stop() {
    test.close();
  }

  private String entries() throws Exception {
    return test.raw(
        0,
        "GET /.well-known/cactusstack/entries?service=search HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }

  @Test
  void shouldServeAndLeaveItOutOfLookUpsWhenAHostCrashes() throws Exception {
    String gone = test.host(1).callersAddress().toString();
    assertThat(entries()).contains(gone).contains("\"ttl_ms\":5000").contains("max-age=5");
    test.host(1).close();
    eventually(() -> !entries().contains(gone));
    eventually(() -> test.call(0, "search").startsWith("HTTP/1.1 200"));
    for (int i = 0; i < 30; i++) {
      assertThat(test.call(0, "booking")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void shouldFinishRequestsInFlightWhenAHostLeaves() throws Exception {
    CompletableFuture<String> slow =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return test.slowUpload(2, "booking");
              } catch (Exception e) {
                return e.toString();
              }
            });
    eventually(() -> test.host(2).inFlight() > 0);
    int cutOff = test.host(2).leave();
    assertThat(cutOff).isZero();
    assertThat(slow.get()).startsWith("HTTP/1.1 200");
    assertThat(entries()).doesNotContain(test.host(2).callersAddress().toString());
  }

  @Test
  void shouldStartFromAnotherHostWhenTheTableIsDown() throws Exception {
    assertThat(test.ctl(0, "table", "set", "search", "almaty-1", "weight=77").code()).isZero();
    test.site.platform().setFaults(new PlatformFaults(false, 0, 0, true));
    var spec =
        new HostSpec(
            "late-host",
            "almaty-1",
            FreePorts.next(),
            FreePorts.next(),
            FreePorts.next(),
            test.site.platform().port(),
            "");
    EntryHost late =
        EntryHost.start(
            spec.settings(Map.of()),
            Ticker.SYSTEM,
            InstantSource.system(),
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY);
    try {
      eventually(() -> late.controllers().configuration().inForce().version() >= 2);
      assertThat(late.controllers().configuration().isStoreReachable()).isFalse();
    } finally {
      late.close();
    }
  }

  @Test
  void shouldSayThatItHasNoConfigurationWhenItStartsFromNothing() throws Exception {
    var spec =
        new HostSpec(
            "lone-host", "almaty-1", FreePorts.next(), FreePorts.next(), FreePorts.next(), 1, "");
    EntryHost lone =
        EntryHost.start(
            spec.settings(Map.of()),
            Ticker.SYSTEM,
            InstantSource.system(),
            LoadBalancingPolicy.LEAST_EXPECTED_LATENCY);
    try (var socket = new java.net.Socket("127.0.0.1", lone.callersAddress().port())) {
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: search\r\nConnection: close\r\n\r\n".getBytes());
      assertThat(new String(socket.getInputStream().readAllBytes()))
          .startsWith("HTTP/1.1 503")
          .contains("no-configuration")
          .contains("not-run");
    } finally {
      lone.close();
    }
  }

  @Test
  void shouldSendNothingMoreWhenAnUpstreamIsListedAsLeaving() throws Exception {
    UpstreamStandIn leaving = test.site.upstreams().get(0);
    test.site.list(leaving, true);
    eventually(() -> test.ctl(0, "status").text().contains(leaving.address() + "  leaving"));
    long before = leaving.ran();
    for (int i = 0; i < 100; i++) {
      assertThat(test.call(i % 4, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(leaving.ran()).isEqualTo(before);
  }

  @Test
  void shouldKeepAColdUpstreamWithinWhatItBears() throws Exception {
    UpstreamStandIn cold = test.site.upstreams().get(0);
    for (int i = 0; i < 100; i++) {
      test.call(i % 4, "search");
    }
    cold.turnCold();
    cold.resetCounts();
    for (int i = 0; i < 300; i++) {
      assertThat(test.call(i % 4, "search")).startsWith("HTTP/1.1 200");
    }
    assertThat(cold.rejectedCold()).isLessThanOrEqualTo(1);
  }
}
