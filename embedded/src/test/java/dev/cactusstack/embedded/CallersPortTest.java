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

/** The callers' port over real connections: good, bad and cut-off input and answers. */
class CallersPortTest {
  private static TestSite test;

  @BeforeAll
  static void start() throws InterruptedException {
    test = new TestSite(1);
  }

  @AfterAll
  static void stop() {
    test.close();
  }

  @AfterEach
  void heal() {
    test.site.upstreams().forEach(u -> u.become(UpstreamCondition.HEALTHY));
  }

  private static void all(UpstreamCondition c) {
    test.site.upstreams().forEach(u -> u.become(c));
  }

  @Test
  void shouldAnswerFromAnUpstreamWhenTheHostNamesAService() throws IOException {
    assertThat(test.call(0, "search"))
        .startsWith("HTTP/1.1 200")
        .contains("\"service\":\"search\"");
    assertThat(test.call(0, "booking.example.org:80")).contains("\"service\":\"booking\"");
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
  void shouldRefuseWhenARequestCanBeReadInTwoWays(String name, String request) throws IOException {
    long before = test.site.upstreams().stream().mapToLong(UpstreamStandIn::ran).sum();
    String answer = test.raw(0, request.replace("^", "\r\n").replace('~', '\u0001'));
    assertThat(answer).doesNotContain("HTTP/1.1 200");
    assertThat(test.site.upstreams().stream().mapToLong(UpstreamStandIn::ran).sum())
        .isEqualTo(before);
    assertThat(test.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNotPassABadChunkOffAsABody() throws IOException {
    String answer =
        test.raw(
            0,
            "POST / HTTP/1.1\r\nHost: search\r\nTransfer-Encoding: chunked\r\n\r\n",
            "3\r\nabc\r\nZZ\r\n");
    assertThat(answer).doesNotContain("HTTP/1.1 200");
    assertThat(test.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNameTheRemedyWhenHeadersAreTooLarge() throws IOException {
    String answer =
        test.raw(0, "GET / HTTP/1.1\r\nHost: search\r\nX: " + "a".repeat(20_000) + "\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 431").contains("callers.max_header_bytes");
  }

  @Test
  void shouldSayNotRunWhenTheServiceIsUnknown() throws IOException {
    assertThat(test.call(0, "nope"))
        .startsWith("HTTP/1.1 404")
        .contains("Cactusstack-Outcome: not-run")
        .contains("application/problem+json")
        .contains("\"kind\":\"unknown-service\"")
        .contains("\"remedy\"");
  }

  @Test
  void shouldServeOthersWhenARequestIsHalfSent() throws IOException {
    test.raw(0, "POST / HTTP/1.1\r\nHost: search\r\nContent-Length: 100\r\n\r\nhalf");
    assertThat(test.call(0, "search")).startsWith("HTTP/1.1 200");
  }

  @Test
  void shouldNeverPassACutAnswerOffAsWhole() throws IOException {
    all(new UpstreamCondition(1, false, false, false, false, true, false));
    String answer = test.call(0, "booking");
    assertThat(answer.startsWith("HTTP/1.1 200") && answer.endsWith("}")).isFalse();
  }

  @Test
  void shouldEndACallWhenAnUpstreamGoesSilentInsideAnAnswer() throws IOException {
    all(UpstreamCondition.HEALTHY.stalling());
    String answer = test.call(0, "scans");
    assertThat(answer.startsWith("HTTP/1.1 200") && answer.endsWith("}")).isFalse();
  }

  @Test
  void shouldSayNotRunWhenEveryUpstreamRefuses() throws IOException {
    all(new UpstreamCondition(1, false, true, false, false, false, false));
    String answer =
        test.raw(
            0,
            "POST /x HTTP/1.1\r\nHost: scans\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
    assertThat(answer).startsWith("HTTP/1.1 503").contains("Cactusstack-Outcome: not-run");
  }

  @Test
  void shouldSayUnknownAndRunOnceWhenAnUpstreamIsSilent() throws Exception {
    all(new UpstreamCondition(1, false, false, false, true, false, false));
    String answer =
        test.raw(
            0,
            "POST /x HTTP/1.1\r\nHost: scans\r\nX-Request-Id: silent-1\r\nConnection: close\r\n"
                + "Content-Length: 3\r\n\r\nabc");
    assertThat(answer).startsWith("HTTP/1.1 504").contains("Cactusstack-Outcome: unknown");
    assertThat(test.site.runs().count("silent-1")).isEqualTo(1);
  }

  @Test
  void shouldPassOnAShrunkDeadlineAndGiveUpWhenItHasPassed() throws IOException {
    String head =
        "GET /x HTTP/1.1\r\nHost: search\r\nConnection: close\r\nCactusstack-Deadline-Ms: ";
    String answer = test.raw(0, head + "2500\r\n\r\n");
    int left = Integer.parseInt(answer.replaceAll("(?s).*\"deadline_ms\":\"(\\d+)\".*", "$1"));
    assertThat(left).isBetween(1, 2_500);
    assertThat(test.raw(0, head + "0\r\n\r\n")).contains("deadline-passed").contains("not-run");
  }

  @Test
  void shouldTryOnceWhenTheRequestIsMarkedAsRepeated() throws IOException {
    all(new UpstreamCondition(1, false, false, false, true, false, false));
    String head = "GET /x HTTP/1.1\r\nHost: booking\r\nConnection: close\r\nX-Request-Id: ";
    assertThat(test.raw(0, head + "first-1\r\n\r\n")).contains("unknown");
    assertThat(test.raw(0, head + "repeated-1\r\nCactusstack-Retry: 1\r\n\r\n"))
        .contains("unknown");
    assertThat(test.site.runs().count("first-1")).isGreaterThan(1);
    assertThat(test.site.runs().count("repeated-1")).isEqualTo(1);
    heal();
    assertThat(test.raw(0, head + "repeated-2\r\nCactusstack-Retry: 1\r\n\r\n"))
        .contains("\"retry\":true");
  }

  @Test
  void shouldRemoveHopByHopFieldsAndTheSystemsOwn() throws IOException {
    String answer =
        test.raw(
            0,
            "GET /x HTTP/1.1\r\nHost: search\r\nConnection: close, X-Private\r\nX-Private: 1\r\n"
                + "Cactusstack-Forwarded: a-1 1 1 00\r\nCactusstack-Data-Centre: almaty-2\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 200").doesNotContain("Cactusstack-Load");
  }

  @Test
  void shouldStreamBothWaysWhenBodiesAreLarge() throws Exception {
    long size = 200L << 20;
    assertThat(test.largeDownload("scans", size)).isEqualTo(size);
    assertThat(test.largeUpload("scans", size)).contains("\"body_bytes\":" + size);
  }

  @Test
  void shouldReuseUpstreamConnectionsWhenRequestsFollowEachOther() throws Exception {
    for (int i = 0; i < 50; i++) {
      test.call(0, "search");
    }
    double before = test.metric(0, "cactusstack_upstream_connections_opened");
    for (int i = 0; i < 400; i++) {
      test.call(0, "search");
    }
    assertThat(test.metric(0, "cactusstack_upstream_connections_opened") - before).isLessThan(100);
  }

  @Test
  void shouldKeepServingWhenRequestsAreRandomBytes() throws IOException {
    var random = new Random(77);
    String good = "POST /a?b=c HTTP/1.1\r\nHost: search\r\nContent-Length: 3\r\nX: y\r\n\r\nabc";
    var served = new AtomicInteger();
    for (int i = 0; i < 300; i++) {
      var b = new StringBuilder(good);
      for (int k = 0; k <= random.nextInt(3); k++) {
        b.setCharAt(random.nextInt(b.length()), (char) random.nextInt(256));
      }
      if (test.raw(0, b.substring(0, random.nextInt(b.length() + 1))).startsWith("HTTP/1.1 200")) {
        served.incrementAndGet();
      }
    }
    assertThat(test.call(0, "search")).startsWith("HTTP/1.1 200");
    assertThat(served.get()).isLessThan(300);
  }
}
