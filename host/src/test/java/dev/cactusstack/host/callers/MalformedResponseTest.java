package dev.cactusstack.host.callers;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.retries.AttemptEvent;
import dev.cactusstack.decisions.retries.AttemptState;
import dev.cactusstack.host.callers.ConnectionPools.Freshness;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import io.undertow.Undertow;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;

/** Sends uploads to an upstream that writes exactly what a test gives it, and may reset. */
@Timeout(60)
class MalformedResponseTest {
  private static final int TIMEOUT_MS = 3_000;
  private static final int UPLOAD_BYTES = 8 << 20;
  private static final int PAUSE_MS = 30;
  private static final int BAD_GATEWAY = 502;

  /** Result of a call whose response broke off, so that the caller can't take it for complete. */
  private static final int ABORTED = 0;

  /** Whether the read or the write finds a reset is a race, so each case runs several times. */
  private static final int ROUNDS = 10;

  /** Heads of responses with a part of their body. */
  private enum Part {
    NO_LENGTH("HTTP/1.1 200 X\r\n\r\nhalf"),
    NO_LENGTH_CLOSE("HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhalf"),
    NO_LENGTH_HTTP_1_0("HTTP/1.0 200 X\r\n\r\nhalf"),
    LENGTH("HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\nhalf"),
    CHUNKS("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");

    private final String text;

    Part(String text) {
      this.text = text;
    }
  }

  private final ConnectionPools pools =
      new ConnectionPools(Ticker.SYSTEM, new DefaultByteBufferPool(true, 16 * 1024), TIMEOUT_MS);
  private final HttpClient caller =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ServerSocket upstream;
  private final Undertow host;
  private volatile String response = "";
  private volatile boolean resets;

  MalformedResponseTest() throws IOException {
    upstream = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    host =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setHandler(x -> x.dispatch(SameThreadExecutor.INSTANCE, () -> forward(x)))
            .build();
  }

  @BeforeEach
  void start() {
    startThread(this::acceptConnections);
    host.start();
  }

  @AfterEach
  void stop() throws IOException {
    host.stop();
    upstream.close();
  }

  private void forward(HttpServerExchange x) {
    var request = new ClientRequest();
    request.setMethod(Methods.POST).setPath(x.getRequestPath()).setProtocol(Protocols.HTTP_1_1);
    request.getRequestHeaders().put(Headers.HOST, "upstream");
    request
        .getRequestHeaders()
        .put(Headers.CONTENT_LENGTH, x.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH));
    var address = new Address("127.0.0.1", upstream.getLocalPort());
    new Attempt(x, pools, Ticker.SYSTEM, address, request, TIMEOUT_MS, new Forwarder(x))
        .start(Freshness.ANY);
  }

  /** Sends what an attempt receives to the caller, as {@code RequestExecution} does. */
  private record Forwarder(HttpServerExchange exchange) implements Attempt.Listener {
    @Override
    public void responseStarted(ClientResponse response, long elapsedNanos) {
      exchange.setStatusCode(response.getResponseCode());
      CactusHeaders.copyEndToEnd(response.getResponseHeaders(), exchange.getResponseHeaders());
    }

    @Override
    public void completed() {}

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      if (state == AttemptState.RESPONDED || exchange.isResponseStarted()) {
        IoUtils.safeClose(exchange.getConnection());
      } else {
        exchange.setStatusCode(BAD_GATEWAY).endExchange();
      }
    }
  }

  private static void startThread(Runnable task) {
    var thread = new Thread(task, "upstream");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (!upstream.isClosed()) {
        Socket connection = upstream.accept();
        startThread(() -> serve(connection));
      }
    } catch (IOException e) {
      // The socket is closed at the end of the test.
    }
  }

  /** Reads the start of the request, responds, and ends the connection. */
  private void serve(Socket connection) {
    try (connection) {
      connection.getInputStream().readNBytes(1);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      connection.getOutputStream().flush();
      Thread.sleep(PAUSE_MS);
      if (resets) {
        connection.setSoLinger(true, 0);
        return;
      }
      connection.shutdownOutput();
      Thread.sleep(PAUSE_MS);
    } catch (IOException e) {
      // The host closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the status of a response that the caller takes for complete. */
  private int upload(int bodyBytes) throws InterruptedException {
    var address = (InetSocketAddress) host.getListenerInfo().get(0).getAddress();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/"))
            .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bodyBytes]))
            .build();
    try {
      return caller.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return ABORTED;
    }
  }

  /** Guards against a part of a body that the end of its connection completes. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldNotDeliverAPartWhenTheConnectionIsResetDuringTheUpload(Part part) throws Exception {
    resets = true;
    response = part.text;
    for (int i = 0; i < ROUNDS; i++) {
      assertThat(upload(UPLOAD_BYTES)).isIn(ABORTED, BAD_GATEWAY);
    }
  }

  /** The same with a connection that the upstream closes in order. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldNotDeliverAPartWhenTheConnectionIsClosedDuringTheUpload(Part part) throws Exception {
    response = part.text;
    assertThat(upload(UPLOAD_BYTES)).isIn(ABORTED, BAD_GATEWAY);
  }

  /** Guards against a body whose end can't be distinguished from a lost connection. */
  @ParameterizedTest
  @CsvSource({"NO_LENGTH, true", "NO_LENGTH, false", "NO_LENGTH_CLOSE, true", "CHUNKS, true"})
  void shouldNotDeliverAPartWhenTheRequestIsComplete(Part part, boolean reset) throws Exception {
    resets = reset;
    response = part.text;
    assertThat(upload(1)).isIn(ABORTED, BAD_GATEWAY);
  }

  /** Guards against a status that is none, which the caller would get. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "101", "102", "199", "600", "999"})
  void shouldReportAFailureWhenTheStatusIsNotThatOfAResponse(String status) throws Exception {
    response = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    assertThat(upload(1)).isEqualTo(BAD_GATEWAY);
  }
}
