package dev.cactusstack.gateway.net;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerConnectionTest {
  private static final HttpClientSettings SETTINGS =
      new HttpClientSettings(100, 8_000, false, 100, 150);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final HttpClient client = new HttpClient(channel.eventLoop(), SETTINGS, () -> 0L);
  private final ServerConnection connection = new ServerConnection(client, "pool", SETTINGS);
  private final List<ExchangeResult> results = new ArrayList<>();

  ServerConnectionTest() {
    connection.addTo(channel.pipeline());
  }

  private static OutgoingRequest request(String id) {
    return new OutgoingRequest(
        "pool",
        new Address("127.0.0.1", 80),
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders().set("id", id),
        new byte[0],
        (h, newConnection) -> id.equals(h.get("id")),
        Long.MAX_VALUE);
  }

  private Exchange sendRequest(String id) {
    var exchange = new Exchange(request(id), results::add);
    connection.run(exchange);
    for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
      b.release();
    }
    return exchange;
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nid: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String body(int i) {
    return new String(((ExchangeResult.Response) results.get(i)).body(), StandardCharsets.UTF_8);
  }

  @Test
  void shouldKeepTheConnectionWhenAResponseIsComplete() {
    sendRequest("1");
    receive(response("1", "abc"));
    assertThat(body(0)).isEqualTo("abc");
    assertThat(client.hasIdleConnection("pool")).isTrue();
  }

  @Test
  void shouldSkipAResponseAndCloseWhenItBelongsToAnotherRequest() {
    sendRequest("2");
    receive(response("1", "old"));
    assertThat(results).isEmpty();
    receive(response("2", "new"));
    assertThat(body(0)).isEqualTo("new");
    assertThat(channel.isActive()).isFalse();
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldCloseWhenUnsolicitedBytesArrive() {
    sendRequest("1");
    receive(response("1", "abc"));
    receive(response("1", "abc"));
    assertThat(results).hasSize(1);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldBeIncompleteWhenTheResponseIsTruncated() {
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 10\r\n\r\nabc");
    channel.close();
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldBeIncompleteWhenTheResponseIsMalformed() {
    sendRequest("1");
    receive("garbage garbage\r\n\r\n");
    channel.close();
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldAcceptAResponseWithoutLengthWhenTheServerClosesTheConnection() {
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nabc");
    assertThat(results).isEmpty();
    channel.close();
    assertThat(body(0)).isEqualTo("abc");
  }

  @Test
  void shouldBeIncompleteWhenTheConnectionIsResetDuringAResponseWithoutLength() {
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nabc");
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    channel.close();
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  @Test
  void shouldNotKeepTheConnectionWhenTheServerAnnouncesToCloseIt() {
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assertThat(results).hasSize(1);
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldCloseAndDeliverNoResultWhenTheExchangeIsAborted() {
    Exchange e = sendRequest("1");
    e.abort();
    assertThat(channel.isActive()).isFalse();
    assertThat(results).isEmpty();
  }

  @Test
  void shouldBeIncompleteWhenTheResponseIsTooLarge() {
    sendRequest("1");
    receive(response("1", "x".repeat(101)));
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  /** Guards against a server that sends bytes without end in place of a response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n\r\n\r\n\r\n",
        "xxxxxxxxxxxxxxxxxxxx",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: 2\r\nContent-Length: 5\r\n\r\nabcde"
      })
  void shouldFailWhenBytesWithoutAResponseNeverEnd(String repeated) {
    sendRequest("1");
    String text = repeated.repeat(100);
    for (long sent = 0; sent < 400_000 && results.isEmpty(); sent += text.length()) {
      receive(text);
    }
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldFailWhenABodyNeverEnds() {
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\n\r\n");
    for (int i = 0; i < 11; i++) {
      receive("0123456789");
    }
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldCloseAnIdleConnectionWhenBlankLinesArrive() {
    sendRequest("1");
    receive(response("1", "abc"));
    receive("\r\n");
    assertThat(channel.isActive()).isFalse();
  }

  /** Guards against bodies without end on several connections that together fill the memory. */
  @Test
  void shouldFailTheExchangeWithTheLargestBodyWhenAllTogetherBufferTooMuch() {
    var otherChannel = new EmbeddedChannel();
    var otherConnection = new ServerConnection(client, "other", SETTINGS);
    otherConnection.addTo(otherChannel.pipeline());
    sendRequest("1");
    receive("HTTP/1.1 200 OK\r\nid: 1\r\n\r\n" + "x".repeat(90));
    List<ExchangeResult> otherResults = new ArrayList<>();
    otherConnection.run(new Exchange(request("2"), otherResults::add));
    otherChannel.writeInbound(
        Unpooled.copiedBuffer(response("2", "y".repeat(70)), StandardCharsets.UTF_8));
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
    assertThat(otherResults).singleElement().isInstanceOf(ExchangeResult.Response.class);
  }
}
