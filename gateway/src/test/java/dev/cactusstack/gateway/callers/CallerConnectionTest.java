package dev.cactusstack.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.site.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {
  private static final CallerLimits LIMITS = new CallerLimits(500, 100, 3_000, 15_000);

  private final Map<String, Consumer<CallerResponse>> pendingResponses = new HashMap<>();
  private final List<CallerRequest> requests = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final CallerListener listener =
      new CallerListener(channel.eventLoop(), List.of(this::handle), () -> LIMITS, () -> 0L);

  private final CallerConnection connection = new CallerConnection(listener, channel, LIMITS);

  CallerConnectionTest() {
    channel
        .pipeline()
        .addLast(new HttpServerCodec(4_096, LIMITS.maxHeaderBytes(), 4_096))
        .addLast(connection);
  }

  private Optional<RequestHandler.Cancellable> handle(
      CallerRequest r, Consumer<CallerResponse> responseConsumer) {
    requests.add(r);
    pendingResponses.put(r.target(), responseConsumer);
    return Optional.of(() -> cancelled.add(r.target()));
  }

  private void send(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private String readResponses() {
    var all = new StringBuilder();
    for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
      all.append(b.toString(StandardCharsets.UTF_8));
    }
    return all.toString();
  }

  private static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  @Test
  void shouldRespondInRequestOrderWhenPipelinedRequestsRunConcurrently() {
    send(get("/1") + get("/2"));
    assertThat(requests).extracting(CallerRequest::target).containsExactly("/1", "/2");
    pendingResponses.get("/2").accept(CallerResponse.json(200, "\"two\""));
    assertThat(readResponses()).isEmpty();
    pendingResponses.get("/1").accept(CallerResponse.json(200, "\"one\""));
    String text = readResponses();
    assertThat(text.indexOf("one")).isPositive().isLessThan(text.indexOf("two"));
  }

  @Test
  void shouldCancelRunningRequestsWhenTheCallerCloses() {
    send(get("/1") + get("/2"));
    channel.close();
    assertThat(cancelled).containsExactlyInAnyOrder("/1", "/2");
  }

  @Test
  void shouldHandleARequestOnlyWhenItsBodyIsComplete() {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc");
    assertThat(requests).isEmpty();
    send("def");
    assertThat(requests).hasSize(1);
    assertThat(new String(requests.get(0).body(), StandardCharsets.UTF_8)).isEqualTo("abcdef");
  }

  @Test
  void shouldJoinTheChunksWhenABodyIsChunked() {
    send(
        "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
    send("0\r\n\r\n");
    assertThat(new String(requests.get(0).body(), StandardCharsets.UTF_8)).isEqualTo("abcde");
  }

  @Test
  void shouldRejectARequestWhenItsBodyIsTooLarge() {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n");
    assertThat(readResponses()).startsWith("HTTP/1.1 413").contains("connection: close");
    assertThat(requests).isEmpty();
  }

  @Test
  void shouldRejectARequestWhenItsHeadersAreTooLarge() {
    send("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(600) + "\r\n\r\n");
    assertThat(readResponses()).startsWith("HTTP/1.1 431");
  }

  @Test
  void shouldRejectARequestWhenItIsMalformed() {
    send("nonsense\r\n\r\n");
    assertThat(readResponses()).startsWith("HTTP/1.1 400");
    assertThat(requests).isEmpty();
  }

  /** Guards against a planned stop that cuts off requests which run at an upstream. */
  @Test
  void shouldRespondToAllAcceptedRequestsAndIgnoreLaterOnesWhenTheListenerIsDraining() {
    send(get("/1") + get("/2"));
    listener.startDraining();
    pendingResponses.get("/1").accept(CallerResponse.json(200, "\"one\""));
    assertThat(readResponses()).contains("one").doesNotContain("connection: close");
    assertThat(cancelled).isEmpty();
    send(get("/3"));
    assertThat(requests).hasSize(2);
    pendingResponses.get("/2").accept(CallerResponse.json(200, "\"two\""));
    assertThat(readResponses()).contains("two").contains("connection: close");
    assertThat(cancelled).isEmpty();
  }

  @Test
  void shouldCloseAfterTheResponseWhenTheListenerIsDrainingAndOneRequestIsInFlight() {
    send(get("/1"));
    listener.startDraining();
    pendingResponses.get("/1").accept(CallerResponse.json(200, "1"));
    assertThat(readResponses()).contains("connection: close");
  }

  @Test
  void shouldStayOpenForAMomentWhenNoRequestHasArrivedYet() {
    connection.closeIfUnused(100);
    assertThat(channel.isActive()).isTrue();
    connection.closeIfUnused(1_000);
    assertThat(channel.isActive()).isFalse();
  }

  /** Keeps what is written, like the connection of a caller that does not read. */
  private final class SlowReader extends ChannelOutboundHandlerAdapter {
    private boolean reads;

    SlowReader() {
      channel.pipeline().addFirst(this);
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
      if (reads) {
        ctx.flush();
      }
    }

    void readAll() {
      reads = true;
      channel.flush();
    }
  }

  /** Guards against a planned stop that breaks off responses which callers are still reading. */
  @Test
  void shouldStayOpenWhenTheCallerHasNotReadAllResponses() {
    var reader = new SlowReader();
    send(get("/1") + get("/2"));
    pendingResponses.get("/1").accept(CallerResponse.json(200, "1"));
    pendingResponses.get("/2").accept(CallerResponse.json(200, "2"));
    listener.startDraining();
    connection.closeIfUnused(1_000);
    assertThat(connection.hasUnsentResponses()).isTrue();
    assertThat(channel.isActive()).isTrue();
    reader.readAll();
    connection.closeIfUnused(1_000);
    assertThat(channel.isActive()).isFalse();
    assertThat(readResponses()).contains("1").contains("2");
  }

  /** Guards against an idle timeout that breaks off a response which the caller goes on reading. */
  @Test
  void shouldNotTimeOutWhileTheCallerReads() {
    long idleMs = LIMITS.idleTimeoutMs();
    var reader = new SlowReader();
    send(get("/1") + get("/2"));
    pendingResponses.get("/1").accept(CallerResponse.json(200, "1"));
    connection.closeIfTimedOut(LIMITS, 10);
    pendingResponses.get("/2").accept(CallerResponse.json(200, "2"));
    connection.closeIfTimedOut(LIMITS, idleMs);
    reader.readAll();
    connection.closeIfTimedOut(LIMITS, idleMs + 10);
    connection.closeIfTimedOut(LIMITS, 2 * idleMs);
    assertThat(channel.isActive()).isTrue();
    connection.closeIfTimedOut(LIMITS, 2 * idleMs + 11);
    assertThat(channel.isActive()).isFalse();
  }

  /** Guards against memory that a caller holds by not reading. */
  @Test
  void shouldTimeOutWhenTheCallerStopsReading() {
    new SlowReader();
    send(get("/1"));
    pendingResponses.get("/1").accept(CallerResponse.json(200, "1"));
    connection.closeIfTimedOut(LIMITS, LIMITS.idleTimeoutMs());
    assertThat(channel.isActive()).isTrue();
    connection.closeIfTimedOut(LIMITS, LIMITS.idleTimeoutMs() + 1);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldCloseAtOnceWhenItIsUnusedAfterARequest() {
    send(get("/1"));
    connection.closeIfUnused(1);
    assertThat(channel.isActive()).isTrue();
    pendingResponses.get("/1").accept(CallerResponse.json(200, "1"));
    connection.closeIfUnused(1);
    assertThat(channel.isActive()).isFalse();
  }
}
