package dev.cactusstack.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.UpstreamNotice;
import dev.cactusstack.gateway.net.ExchangeResult;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class NoticeReaderTest {
  private static final UpstreamRegistration UPSTREAM =
      new UpstreamRegistration("u", "s", new Address("127.0.0.1", 1), "dc", 4, false, 0, 1, 1);

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(output);
  private OptionalDouble saidPerSecond = OptionalDouble.empty();
  private boolean saysLeaving;
  private long nowMs = 10_000;
  private final NoticeReader reader =
      new NoticeReader(
          () -> nowMs,
          log,
          (UpstreamHeaders)
              Proxy.newProxyInstance(
                  UpstreamHeaders.class.getClassLoader(),
                  new Class<?>[] {UpstreamHeaders.class},
                  (proxy, method, args) ->
                      switch (method.getName()) {
                        case "isLeaving" -> saysLeaving;
                        case "requestsPerSecond" -> saidPerSecond;
                        default -> throw new AssertionError(method.getName());
                      }));

  /** Reads a response with a limit to a request that was sent at a time. */
  private UpstreamNotice read(OptionalDouble perSecond, long sentAtMs) {
    saidPerSecond = perSecond;
    return reader.read(
        UPSTREAM,
        new ExchangeResult.Response(200, new DefaultHttpHeaders(), new byte[0]),
        sentAtMs);
  }

  private UpstreamNotice read(double perSecond) {
    return read(OptionalDouble.of(perSecond), nowMs);
  }

  private double knownPerSecond() {
    return reader
        .notices()
        .current(UPSTREAM, nowMs)
        .limit()
        .map(RequestLimit::requestsPerSecond)
        .orElse(RequestLimit.UNLIMITED);
  }

  private List<String> logLines() {
    log.flush();
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void shouldReadALimitWithTheTimesBetweenWhichTheResponseWasWritten() {
    assertThat(read(OptionalDouble.of(1.5), 9_700).limit()).contains(new RequestLimit(1.5, 300, 0));
    assertThat(knownPerSecond()).isEqualTo(1.5);
  }

  @Test
  void shouldReadThatThereIsNoLimitWhenTheFieldIsAbsent() {
    assertThat(read(OptionalDouble.empty(), 9_700).limit())
        .contains(new RequestLimit(RequestLimit.UNLIMITED, 300, 0));
  }

  @Test
  void shouldKeepWhatIsKnownWhenTheLimitIsUnreadable() {
    read(1.5);
    nowMs += 100;
    assertThat(read(Double.NaN).limit()).isEmpty();
    assertThat(knownPerSecond()).isEqualTo(1.5);
    assertThat(logLines())
        .anyMatch(line -> line.contains("event=server_limit_invalid") && line.contains("NaN"));
  }

  @Test
  void shouldUseZeroWhenTheLimitIsNegative() {
    read(-3);
    assertThat(knownPerSecond()).isZero();
    assertThat(logLines()).anyMatch(line -> line.contains("event=server_limit_invalid"));
  }

  @Test
  void shouldLogOnceWhenALimitIsNamedChangedOrWithdrawn() {
    read(1.5);
    nowMs += 100;
    read(1.5);
    nowMs += 100;
    read(0.5);
    nowMs += 100;
    read(OptionalDouble.empty(), nowMs);
    nowMs += 100;
    read(OptionalDouble.empty(), nowMs);
    assertThat(logLines())
        .hasSize(3)
        .allMatch(line -> line.contains("event=upstream_notice upstream=u says=limit"));
    assertThat(logLines().get(0)).contains("per_second=1.5 before=none");
    assertThat(logLines().get(1)).contains("per_second=0.5 before=1.5");
    assertThat(logLines().get(2)).contains("per_second=none before=0.5");
  }

  @Test
  void shouldLogOnceThatAnUpstreamLeavesWhenItsLimitChangesToo() {
    saysLeaving = true;
    read(1.5);
    nowMs += 100;
    read(0.5);
    assertThat(logLines()).filteredOn(line -> line.contains("says=leaving")).hasSize(1);
    assertThat(logLines()).filteredOn(line -> line.contains("says=limit")).hasSize(2);
  }

  /** Guards against a slow response that was written before a limit was named. */
  @Test
  void shouldKeepTheLimitWhenALateResponseNamesNone() {
    long sentBeforeMs = nowMs - 1_000;
    read(1.5);
    nowMs += 100;
    read(OptionalDouble.empty(), sentBeforeMs);
    assertThat(knownPerSecond()).isEqualTo(1.5);
  }

  @Test
  void shouldCountTheLimitsThatWereNamed() {
    read(1.5);
    nowMs += 100;
    read(OptionalDouble.empty(), nowMs);
    nowMs += 100;
    read(2);
    assertThat(reader.notices().limitCount()).isEqualTo(2);
  }
}
