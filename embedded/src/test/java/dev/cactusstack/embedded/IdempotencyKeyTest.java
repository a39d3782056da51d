package dev.cactusstack.embedded;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.UpstreamCondition;
import java.io.IOException;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request with an Idempotency-Key runs at most once when it is retried, also at other
 * hosts, concurrently and during faults.
 */
class IdempotencyKeyTest {
  private static TestCluster cluster;

  @BeforeAll
  static void start() throws InterruptedException {
    cluster = new TestCluster(3);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @AfterEach
  void clearFaults() {
    cluster.standIns.platform().setFaults(PlatformFaults.NONE);
    cluster.standIns.upstreams().forEach(u -> u.setCondition(UpstreamCondition.HEALTHY));
  }

  private static String reserve(int host, String key, String path) throws IOException {
    return cluster.sendRaw(
        host,
        "POST "
            + path
            + " HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: "
            + key
            + "\r\nX-Request-Id: "
            + key
            + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
  }

  @Test
  void shouldRunOnceWhenTheRequestIsRetriedAtAnotherHost() throws Exception {
    assertThat(reserve(0, "delo-1", "/r")).startsWith("HTTP/1.1 200");
    assertThat(reserve(1, "delo-1", "/r")).startsWith("HTTP/1.1 409").contains("unknown");
    TestCluster.eventually(() -> reserve(2, "delo-1", "/r").contains("with status 200"));
    assertThat(cluster.standIns.executionCounter().count("delo-1")).isEqualTo(1);
  }

  @Test
  void shouldRunOnceWhenTheRequestReachesAllHostsConcurrently() throws Exception {
    var calls = new ArrayList<CompletableFuture<String>>();
    for (int i = 0; i < 9; i++) {
      int host = i % 3;
      calls.add(
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return reserve(host, "delo-2", "/r");
                } catch (IOException e) {
                  return e.toString();
                }
              }));
    }
    long served = calls.stream().filter(c -> c.join().startsWith("HTTP/1.1 200")).count();
    assertThat(served).isEqualTo(1);
    assertThat(cluster.standIns.executionCounter().count("delo-2")).isEqualTo(1);
  }

  @Test
  void shouldNotRunAgainWhenTheOutcomeIsUnknown() throws Exception {
    cluster
        .standIns
        .upstreams()
        .forEach(
            u -> u.setCondition(new UpstreamCondition(1, false, false, false, true, false, false)));
    assertThat(reserve(0, "delo-3", "/r")).contains("Cactusstack-Outcome: unknown");
    clearFaults();
    assertThat(reserve(1, "delo-3", "/r")).startsWith("HTTP/1.1 409").contains("unknown");
    assertThat(cluster.standIns.executionCounter().count("delo-3")).isEqualTo(1);
  }

  @Test
  void shouldRunARetryWhenTheFirstRequestWasNotRun() throws Exception {
    cluster
        .standIns
        .upstreams()
        .forEach(
            u -> u.setCondition(new UpstreamCondition(1, false, true, false, false, false, false)));
    assertThat(reserve(0, "delo-4", "/r")).contains("Cactusstack-Outcome: not-run");
    clearFaults();
    TestCluster.eventually(() -> reserve(1, "delo-4", "/r").startsWith("HTTP/1.1 200"));
    assertThat(cluster.standIns.executionCounter().count("delo-4")).isEqualTo(1);
  }

  @Test
  void shouldRunOnceWhenTheTableServiceResponseIsLost() throws Exception {
    cluster.standIns.platform().setFaults(new PlatformFaults(false, 0, 1));
    assertThat(reserve(0, "delo-5", "/r")).startsWith("HTTP/1.1 200");
    assertThat(reserve(1, "delo-5", "/r")).startsWith("HTTP/1.1 409");
    assertThat(cluster.standIns.executionCounter().count("delo-5")).isEqualTo(1);
  }

  @Test
  void shouldReportNotRunWhenTheTableServiceIsDown() throws Exception {
    cluster.standIns.platform().setFaults(new PlatformFaults(true, 0, 0));
    assertThat(reserve(0, "delo-6", "/r"))
        .startsWith("HTTP/1.1 503")
        .contains("Cactusstack-Outcome: not-run");
    assertThat(cluster.standIns.executionCounter().count("delo-6")).isZero();
  }

  @Test
  void shouldRejectTheKeyWhenItWasUsedForAnotherRequest() throws Exception {
    assertThat(reserve(0, "delo-7", "/r")).startsWith("HTTP/1.1 200");
    assertThat(reserve(0, "delo-7", "/other")).startsWith("HTTP/1.1 400").contains("not-run");
    assertThat(cluster.standIns.executionCounter().count("delo-7")).isEqualTo(1);
  }
}
