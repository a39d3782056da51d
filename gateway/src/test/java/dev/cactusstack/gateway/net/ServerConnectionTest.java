package dev.cactusstack.gateway.net;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
    return request(HttpMethod.GET, id);
  }

  private static OutgoingRequest request(HttpMethod method, String id) {
    return new OutgoingRequest(
        "pool",
        new Address("127.0.0.1", 80),
        method,
        "/",
        new DefaultHttpHeaders().set("id", id),
        new byte[0],
        new MatchById(id),
        Long.MAX_VALUE);
  }

  /** Takes a response with the id "none" for one that only the first request can own. */
  private record MatchById(String id) implements ResponseMatcher {
    @Override
    public ResponseOwner ownerOf(int status, HttpHeaders headers, CarriedRequests carried) {
      String responseId = headers.get("id");
      if (responseId == null) {
        return ResponseOwner.UNKNOWN;
      }
      if (responseId.equals("none")) {
        return carried.isOnlyOne() ? ResponseOwner.CURRENT_BY_ELIMINATION : ResponseOwner.UNKNOWN;
      }
      if (responseId.equals(id)) {
        return ResponseOwner.CURRENT;
      }
      return carried.include(responseId) ? ResponseOwner.ANOTHER : ResponseOwner.UNKNOWN;
    }

    @Override
    public Optional<String> requestId() {
      return Optional.of(id);
    }
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
    sendRequest("1");
    receive(response("1", "abc"));
    results.clear();
    sendRequest("2");
    receive(response("1", "old"));
    assertThat(results).isEmpty();
    receive(response("2", "new"));
    assertThat(body(0)).isEqualTo("new");
    assertThat(channel.isActive()).isFalse();
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  /** Guards against a response that is skipped, so that one that follows takes its place. */
  @ParameterizedTest
  @CsvSource({
    "500, '', 1",
    "500, '', 2",
    "200, '', 1",
    "200, '', 2",
    "503, 'id: none\r\n', 2",
    "500, 'id: 9\r\n', 1",
    "200, 'id: 9\r\n', 2"
  })
  void shouldEndTheExchangeAtOnceWhenTheOwnerOfAResponseIsUnknown(
      int status, String idField, int exchangeCount) {
    for (int i = 1; i < exchangeCount; i++) {
      sendRequest("earlier");
      receive(response("earlier", "abc"));
    }
    results.clear();
    sendRequest("1");
    receive("HTTP/1.1 " + status + " X\r\nContent-Length: 3\r\n" + idField + "\r\n");
    assertThat(results).containsExactly(new ExchangeResult.Unattributed(status));
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldDeliverNothingThatFollowsAResponseOfAnUnknownOwner() {
    sendRequest("1");
    receive("HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nabc" + response("1", "abc"));
    assertThat(results).containsExactly(new ExchangeResult.Unattributed(500));
  }

  @Test
  void shouldEndTheExchangeWhenTheOwnerIsUnknownAndTheRequestIsNotWritten() {
    channel.pipeline().addFirst(new UnfinishedWrites());
    sendRequest("1");
    receive("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" + response("1", "abc"));
    assertThat(results).containsExactly(new ExchangeResult.Unattributed(500));
  }

  @Test
  void shouldAcceptAResponseAndCloseWhenOnlyTheFirstRequestCanOwnIt() {
    sendRequest("1");
    receive(response("none", "abc"));
    assertThat(body(0)).isEqualTo("abc");
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldRememberTheIdsOfTheLastRequests() {
    for (int i = 0; i < 33; i++) {
      sendRequest("" + i);
      receive(response("" + i, "abc"));
    }
    assertThat(connection.hasCarried(request("32"))).isTrue();
    assertThat(connection.hasCarried(request("1"))).isTrue();
    assertThat(connection.hasCarried(request("0"))).isFalse();
    assertThat(connection.hasCarried(request("33"))).isFalse();
  }

  /** Guards against a status that ends HTTP on the connection, or that is none. */
  @ParameterizedTest
  @ValueSource(ints = {101, 0, 99, 600, 999})
  void shouldBeIncompleteWhenTheStatusIsNotThatOfAResponse(int status) {
    sendRequest("1");
    receive(
        "HTTP/1.1 " + status + " X\r\nid: 1\r\nContent-Length: 0\r\n\r\n" + response("1", "abc"));
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldNotAttributeInformationalResponses() {
    sendRequest("1");
    receive("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + response("1", "abc"));
    assertThat(body(0)).isEqualTo("abc");
    assertThat(client.hasIdleConnection("pool")).isTrue();
  }

  @Test
  void shouldCloseWhenUnsolicitedBytesArrive() {
    sendRequest("1");
    receive(response("1", "abc"));
    receive(response("1", "abc"));
    assertThat(results).hasSize(1);
    assertThat(channel.isActive()).isFalse();
  }

  /** Guards against a request that is sent while the rest of a read is still to be decoded. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "garbage",
        "garbage garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 3\r\n\r\nabc"
      })
  void shouldNotBeReusableWhenBytesFollowTheResponseInTheSameRead(String rest) {
    List<Boolean> reusable = new ArrayList<>();
    connection.run(
        new Exchange(request("1"), result -> reusable.add(client.hasIdleConnection("pool"))));
    receive(response("1", "abc") + rest);
    assertThat(reusable).containsExactly(false);
    assertThat(client.hasIdleConnection("pool")).isFalse();
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void shouldDeliverACompleteResponseWhenTheConnectionFailsInTheSameRead() {
    sendRequest("1");
    channel.writeOneInbound(Unpooled.copiedBuffer(response("1", "abc"), StandardCharsets.UTF_8));
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    assertThat(body(0)).isEqualTo("abc");
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldDeliverNothingWhenTheExchangeIsAbortedInTheReadOfItsResponse() {
    Exchange e = sendRequest("1");
    channel.writeOneInbound(Unpooled.copiedBuffer(response("1", "abc"), StandardCharsets.UTF_8));
    e.abort();
    channel.pipeline().fireChannelReadComplete();
    assertThat(results).isEmpty();
    assertThat(client.hasIdleConnection("pool")).isFalse();
  }

  @Test
  void shouldExpectNoBodyWhenTheRequestAsksForNone() {
    connection.run(new Exchange(request(HttpMethod.HEAD, "1"), results::add));
    receive("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 10\r\n\r\n");
    assertThat(body(0)).isEmpty();
    assertThat(client.hasIdleConnection("pool")).isTrue();
  }

  @Test
  void shouldBeIncompleteWhenTheResponseIsMalformed() {
    sendRequest("1");
    receive("garbage garbage\r\n\r\n");
    channel.close();
    assertThat(results).singleElement().isInstanceOf(ExchangeResult.Incomplete.class);
  }

  /** The bytes of a response that a server has sent before its connection ends. */
  private enum Sent {
    NOTHING(""),
    PART_OF_HEAD("HTTP/1.1 200 OK\r\nid: 1\r\n"),
    PART_OF_LENGTH("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 10\r\n\r\nabc"),
    WHOLE_LENGTH("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 3\r\n\r\nabc"),
    PART_OF_CHUNK("HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\nabc"),
    NO_LAST_CHUNK("HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
    WHOLE_CHUNKS(
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
    WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nabc"),
    NO_BODY("HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n"),
    OTHER_RESPONSE("HTTP/1.1 200 OK\r\nid: 0\r\n\r\nabc");

    private final String text;

    Sent(String text) {
      this.text = text;
    }
  }

  /** How a connection ends. */
  private enum End {
    CLOSED_BY_SERVER {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.close();
      }
    },
    RESET_FOUND_BY_READ {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        channel.close();
      }
    };

    abstract void apply(EmbeddedChannel channel);
  }

  /** Every way in which a response can end with its connection, and whether it is complete. */
  @ParameterizedTest
  @CsvSource({
    "NOTHING, CLOSED_BY_SERVER, false",
    "PART_OF_HEAD, CLOSED_BY_SERVER, false",
    "PART_OF_LENGTH, CLOSED_BY_SERVER, false",
    "WHOLE_LENGTH, CLOSED_BY_SERVER, true",
    "PART_OF_CHUNK, CLOSED_BY_SERVER, false",
    "NO_LAST_CHUNK, CLOSED_BY_SERVER, false",
    "WHOLE_CHUNKS, CLOSED_BY_SERVER, true",
    "WITHOUT_LENGTH, CLOSED_BY_SERVER, true",
    "NO_BODY, CLOSED_BY_SERVER, true",
    "OTHER_RESPONSE, CLOSED_BY_SERVER, false",
    "PART_OF_LENGTH, RESET_FOUND_BY_READ, false",
    "WHOLE_LENGTH, RESET_FOUND_BY_READ, true",
    "NO_LAST_CHUNK, RESET_FOUND_BY_READ, false",
    "WITHOUT_LENGTH, RESET_FOUND_BY_READ, false",
  })
  void shouldBeCompleteOnlyWhenTheWholeResponseHasArrived(Sent sent, End end, boolean complete) {
    sendRequest("1");
    receive(sent.text);
    end.apply(channel);
    assertThat(results).hasSize(1);
    assertThat(results.get(0) instanceof ExchangeResult.Response).isEqualTo(complete);
    if (complete) {
      assertThat(body(0)).isEqualTo(sent == Sent.NO_BODY ? "" : "abc");
    }
  }

  /**
   * The same while a part of the request is unsent. Guards against a reset that only the write
   * finds, after which the connection ends like one that the server closed.
   */
  @ParameterizedTest
  @CsvSource({
    "PART_OF_LENGTH, false",
    "WHOLE_LENGTH, true",
    "NO_LAST_CHUNK, false",
    "WHOLE_CHUNKS, true",
    "WITHOUT_LENGTH, false",
    "NO_BODY, true"
  })
  void shouldNotEndAResponseWithItsConnectionWhenTheRequestIsNotWritten(
      Sent sent, boolean complete) {
    channel.pipeline().addFirst(new UnfinishedWrites());
    sendRequest("1");
    receive(sent.text);
    channel.close();
    assertThat(results).hasSize(1);
    assertThat(results.get(0) instanceof ExchangeResult.Response).isEqualTo(complete);
  }

  /** A peer that reads nothing, so that no write succeeds before the connection ends. */
  private static final class UnfinishedWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      ReferenceCountUtil.release(msg);
      ctx.channel().closeFuture().addListener(f -> promise.tryFailure(new IOException("reset")));
    }
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
    sendRequest("2");
    receive(response("2", "abc"));
    results.clear();
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
