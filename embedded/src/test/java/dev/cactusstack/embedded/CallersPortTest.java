package dev.cactusstack.embedded;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.standin.UpstreamCondition;
import dev.cactusstack.standin.UpstreamStandIn;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the callers' port over TCP with valid, malformed and truncated requests and responses. */
class CallersPortTest {
  private static TestCluster cluster;

  @BeforeAll
  static void start() throws InterruptedException {
    cluster = new TestCluster(1);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @AfterEach
  void clearFaults() {
    cluster.standIns.upstreams().forEach(u -> u.setCondition(UpstreamCondition.HEALTHY));
  }

  private static void setConditionOfAll(UpstreamCondition c) {
    cluster.standIns.upstreams().forEach(u -> u.setCondition(c));
  }

  @Test
  void shouldForwardToAnUpstreamWhenTheHostHeaderNamesAService() throws IOException {
    assertThat(cluster.call(0, "search"))
        .startsWith("HTTP/1.1 200")
        .contains("\"service\":\"search\"");
    assertThat(cluster.call(0, "booking.example.org:80")).contains("\"service\":\"booking\"");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "both lengths        | POST / HTTP/1.1^Host: search^Content-Length: 5^Transfer-Encoding: chunked^^0^^",
        "two lengths         | POST / HTTP/1.1^Host: search^Content-Length: 3^Content-Length: 4^^abcd",
        "a signed length     | POST / HTTP/1.1^Host: search^Content-Length: +3^^abc",
        "a list of lengths   | POST / HTTP/1.1^Host: search^Content-Length: 3, 3^^abc",
        "an unknown coding   | POST / HTTP/1.1^Host: search^Transfer-Encoding: xchunked^^0^^",
        "two codings         | POST / HTTP/1.1^Host: search^Transfer-Encoding: gzip, chunked^^0^^",
        "a space in a name   | GET / HTTP/1.1^Host: search^Bad Name: x^^",
        "a space before colon| GET / HTTP/1.1^Host: search^Content-Length : 3^^abc",
        "a control character | GET / HTTP/1.1^Host: search^X: a~b^^",
        "two hosts           | GET / HTTP/1.1^Host: search^Host: booking^^",
        "no host             | GET / HTTP/1.1^X: y^^"
      })
  void shouldRejectARequestWhenItsFramingIsAmbiguous(String name, String request)
      throws IOException {
    long before =
        cluster.standIns.upstreams().stream().mapToLong(UpstreamStandIn::executedRequests).sum();
    String answer = cluster.sendRaw(0, request.replace("^", "\r\n").replace('~', '\u0001'));
    assertThat(answer).doesNotContain("HTTP/1.1 200");
    assertThat(
            cluster.standIns.upstreams().stream()
                .mapToLong(UpstreamStandIn::executedRequests)
                .sum())
        .isEqualTo(before);
    assertThat(cluster.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNotReturnSuccessWhenAChunkIsMalformed() throws IOException {
    String answer =
        cluster.sendRaw(
            0,
            "POST / HTTP/1.1\r\nHost: search\r\nTransfer-Encoding: chunked\r\n\r\n",
            "3\r\nabc\r\nZZ\r\n");
    assertThat(answer).doesNotContain("HTTP/1.1 200");
    assertThat(cluster.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNameTheSettingWhenHeadersAreTooLarge() throws IOException {
    String answer =
        cluster.sendRaw(
            0, "GET / HTTP/1.1\r\nHost: search\r\nX: " + "a".repeat(20_000) + "\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 431").contains("callers.max_header_bytes");
  }

  @Test
  void shouldReportNotRunWhenTheServiceIsUnknown() throws IOException {
    assertThat(cluster.call(0, "nope"))
        .startsWith("HTTP/1.1 404")
        .contains("Cactusstack-Outcome: not-run")
        .contains("application/problem+json")
        .contains("\"kind\":\"unknown-service\"")
        .contains("\"remedy\"");
  }

  @Test
  void shouldServeOtherRequestsWhenOneRequestIsIncomplete() throws IOException {
    cluster.sendRaw(0, "POST / HTTP/1.1\r\nHost: search\r\nContent-Length: 100\r\n\r\nhalf");
    assertThat(cluster.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNotReturnACompleteResponseWhenTheUpstreamTruncatesIt() throws IOException {
    setConditionOfAll(new UpstreamCondition(1, false, false, false, false, true, false));
    String answer = cluster.call(0, "booking");
    assertThat(answer.startsWith("HTTP/1.1 200") && answer.endsWith("}")).isFalse();
  }

  @Test
  void shouldEndACallWhenTheUpstreamStallsDuringItsResponse() throws IOException {
    setConditionOfAll(UpstreamCondition.HEALTHY.withStalledResponses());
    String answer = cluster.call(0, "scans");
    assertThat(answer.startsWith("HTTP/1.1 200") && answer.endsWith("}")).isFalse();
  }

  @Test
  void shouldReportNotRunWhenEveryUpstreamRejectsTheRequest() throws IOException {
    setConditionOfAll(new UpstreamCondition(1, false, true, false, false, false, false));
    String answer =
        cluster.sendRaw(
            0,
            "POST /x HTTP/1.1\r\nHost: scans\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
    assertThat(answer).startsWith("HTTP/1.1 503").contains("Cactusstack-Outcome: not-run");
  }

  @Test
  void shouldReportUnknownAndRunOnceWhenTheUpstreamNeverResponds() throws Exception {
    setConditionOfAll(new UpstreamCondition(1, false, false, false, true, false, false));
    String answer =
        cluster.sendRaw(
            0,
            "POST /x HTTP/1.1\r\nHost: scans\r\nX-Request-Id: silent-1\r\nConnection: close\r\n"
                + "Content-Length: 3\r\n\r\nabc");
    assertThat(answer).startsWith("HTTP/1.1 504").contains("Cactusstack-Outcome: unknown");
    assertThat(cluster.standIns.executionCounter().count("silent-1")).isEqualTo(1);
  }

  @Test
  void shouldForwardTheRemainingDeadlineAndRejectWhenItHasPassed() throws IOException {
    String head =
        "GET /x HTTP/1.1\r\nHost: search\r\nConnection: close\r\nCactusstack-Deadline-Ms: ";
    String answer = cluster.sendRaw(0, head + "2500\r\n\r\n");
    int remainingMs =
        Integer.parseInt(answer.replaceAll("(?s).*\"deadline_ms\":\"(\\d+)\".*", "$1"));
    assertThat(remainingMs).isBetween(1, 2_500);
    assertThat(cluster.sendRaw(0, head + "0\r\n\r\n"))
        .contains("deadline-passed")
        .contains("not-run");
  }

  @Test
  void shouldMakeOneAttemptWhenTheRequestIsMarkedAsARetry() throws IOException {
    setConditionOfAll(new UpstreamCondition(1, false, false, false, true, false, false));
    String head = "GET /x HTTP/1.1\r\nHost: booking\r\nConnection: close\r\nX-Request-Id: ";
    assertThat(cluster.sendRaw(0, head + "first-1\r\n\r\n")).contains("unknown");
    assertThat(cluster.sendRaw(0, head + "repeated-1\r\nCactusstack-Retry: 1\r\n\r\n"))
        .contains("unknown");
    assertThat(cluster.standIns.executionCounter().count("first-1")).isGreaterThan(1);
    assertThat(cluster.standIns.executionCounter().count("repeated-1")).isEqualTo(1);
    clearFaults();
    assertThat(cluster.sendRaw(0, head + "repeated-2\r\nCactusstack-Retry: 1\r\n\r\n"))
        .contains("\"retry\":true");
  }

  @Test
  void shouldRemoveHopByHopAndSystemHeadersWhenForwarding() throws IOException {
    String answer =
        cluster.sendRaw(
            0,
            "GET /x HTTP/1.1\r\nHost: search\r\nConnection: close, X-Private\r\nX-Private: 1\r\n"
                + "Cactusstack-Forwarded: a-1 1 1 00\r\nCactusstack-Data-Centre: almaty-2\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 200").doesNotContain("Cactusstack-Load");
  }

  @Test
  void shouldStreamBothWaysWhenBodiesAreLarge() throws Exception {
    long size = 200L << 20;
    assertThat(cluster.largeDownload("scans", size)).isEqualTo(size);
    assertThat(cluster.largeUpload("scans", size)).contains("\"body_bytes\":" + size);
  }

  @Test
  void shouldReuseUpstreamConnectionsWhenRequestsAreSequential() throws Exception {
    for (int i = 0; i < 50; i++) {
      cluster.call(0, "search");
    }
    double before = cluster.metric(0, "cactusstack_upstream_connections_opened");
    for (int i = 0; i < 400; i++) {
      cluster.call(0, "search");
    }
    assertThat(cluster.metric(0, "cactusstack_upstream_connections_opened") - before)
        .isLessThan(100);
  }

  @Test
  void shouldKeepServingWhenRequestsAreCorrupted() throws IOException {
    var random = new Random(77);
    String validRequest =
        "POST /a?b=c HTTP/1.1\r\nHost: search\r\nContent-Length: 3\r\nX: y\r\n\r\nabc";
    var served = new AtomicInteger();
    for (int i = 0; i < 300; i++) {
      var corrupted = new StringBuilder(validRequest);
      for (int k = 0; k <= random.nextInt(3); k++) {
        corrupted.setCharAt(random.nextInt(corrupted.length()), (char) random.nextInt(256));
      }
      if (cluster
          .sendRaw(0, corrupted.substring(0, random.nextInt(corrupted.length() + 1)))
          .startsWith("HTTP/1.1 200")) {
        served.incrementAndGet();
      }
    }
    assertThat(cluster.call(0, "search")).startsWith("HTTP/1.1 200");
    assertThat(served.get()).isLessThan(300);
  }
}
