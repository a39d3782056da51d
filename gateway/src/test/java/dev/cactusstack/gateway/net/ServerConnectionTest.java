package dev.cactusstack.gateway.net;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerConnectionTest {
  private static final HttpClientSettings LIMITS = new HttpClientSettings(100, 8_000, false, 100);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final HttpClient client = new HttpClient(channel.eventLoop(), LIMITS, () -> 0L);
  private final ServerConnection connection = new ServerConnection(client, "pool", LIMITS);
  private final List<ExchangeResult> replies = new ArrayList<>();

  ServerConnectionTest() {
    channel.pipeline().addLast(new HttpClientCodec()).addLast(connection);
  }

  private Exchange run(String id) {
    var request =
        new OutgoingRequest(
            "pool",
            new Address("127.0.0.1", 80),
            HttpMethod.GET,
            "/",
            new DefaultHttpHeaders().set("id", id),
            new byte[0],
            h -> id.equals(h.get("id")),
            Long.MAX_VALUE);
    var e = new Exchange(request, replies::add);
    connection.run(e);
    for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
      b.release();
    }
    return e;
  }

  private void server(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static String answer(String id, String body) {
    return "HTTP/1.1 200 OK\r\nid: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String body(int i) {
    return new String(((ExchangeResult.Response) replies.get(i)).body(), StandardCharsets.UTF_8);
  }

  @Test
  void shouldKeepTheConnectionWhenAWholeAnswerCame() {
    run("1");
    server(answer("1", "abc"));
    assertThat(body(0)).isEqualTo("abc");
    assertThat(client.hasIdleConnection("pool")).isTrue();
  }

  @Test
  void shouldSkipAnotherRequestsAnswerAndCloseWhenItComesLate() {
    run("2");
    server(answer("1", "old"));
    assertThat(replies).isEmpty();
    server(answer("2", "new"));
    assertThat(body(0)).isEqualTo("new");
    assertThat(channel.isActive()).isFalse();
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldCloseWhenBytesComeThatNoRequestAskedFor() {
    run("1");
    server(answer("1", "abc"));
    server(answer("1", "abc"));
    assertThat(replies).hasSize(1);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldBeBrokenWhenTheAnswerEndsEarly() {
    run("1");
    server("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 10\r\n\r\nabc");
    channel.close();
    assertThat(replies).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldBeBrokenWhenWhatComesIsNoAnswer() {
    run("1");
    server("garbage garbage\r\n\r\n");
    channel.close();
    assertThat(replies).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldTakeAnAnswerWithoutLengthWhenTheServerEndsTheConnection() {
    run("1");
    server("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nabc");
    assertThat(replies).isEmpty();
    channel.close();
    assertThat(body(0)).isEqualTo("abc");
  }

  @Test
  void shouldBeBrokenWhenAnAnswerWithoutLengthIsReset() {
    run("1");
    server("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nabc");
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    channel.close();
    assertThat(replies).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldNotKeepTheConnectionWhenTheServerWillCloseIt() {
    run("1");
    server("HTTP/1.1 200 OK\r\nid: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assertThat(replies).hasSize(1);
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldTellOneEndWhenTheExchangeWasAbandoned() {
    Exchange e = run("1");
    e.abort();
    assertThat(channel.isActive()).isFalse();
    assertThat(replies).isEmpty();
  }

  @Test
  void shouldBeBrokenWhenTheAnswerIsTooLarge() {
    run("1");
    server(answer("1", "x".repeat(101)));
    assertThat(replies).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }
}
