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
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends requests to an upstream that responds to each of them twice, on the same connection. */
@Timeout(60)
class PooledConnectionTest {
  private static final int TIMEOUT_MS = 3_000;
  private static final int PAUSE_MS = 200;

  private final ConnectionPools pools =
      new ConnectionPools(Ticker.SYSTEM, new DefaultByteBufferPool(true, 16 * 1024), TIMEOUT_MS);
  private final HttpClient caller = HttpClient.newHttpClient();
  private final ServerSocket upstream;
  private final Undertow host;
  private volatile boolean secondWaitsForTheNextRequest;

  PooledConnectionTest() throws IOException {
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
    var acceptor = new Thread(this::acceptConnections, "upstream");
    acceptor.setDaemon(true);
    acceptor.start();
    host.start();
  }

  @AfterEach
  void stop() throws IOException {
    host.stop();
    upstream.close();
  }

  private void forward(HttpServerExchange x) {
    var request = new ClientRequest();
    request.setMethod(Methods.GET).setPath(x.getRequestPath()).setProtocol(Protocols.HTTP_1_1);
    request.getRequestHeaders().put(Headers.HOST, "upstream");
    var address = new Address("127.0.0.1", upstream.getLocalPort());
    new Attempt(x, pools, Ticker.SYSTEM, address, request, TIMEOUT_MS, new Forwarder(x))
        .start(Freshness.ANY);
  }

  /** Sends what an attempt receives to the caller. */
  private record Forwarder(HttpServerExchange exchange) implements Attempt.Listener {
    @Override
    public void responseStarted(ClientResponse response, long elapsedNanos) {
      exchange.setStatusCode(response.getResponseCode());
      String length = response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
    }

    @Override
    public void completed() {}

    @Override
    public void failed(AttemptState state, AttemptEvent cause, String reason) {
      exchange.setStatusCode(502).endExchange();
    }
  }

  private void acceptConnections() {
    try {
      while (!upstream.isClosed()) {
        Socket connection = upstream.accept();
        var server = new Thread(() -> serve(connection), "upstream-connection");
        server.setDaemon(true);
        server.start();
      }
    } catch (IOException e) {
      // The socket is closed at the end of the test.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      var in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
      OutputStream out = connection.getOutputStream();
      String late = "";
      for (String path = readPath(in); !path.isEmpty(); path = readPath(in)) {
        String first = response(500, "failure of " + path);
        String second = response(200, "second response to " + path);
        out.write((late + first).getBytes(StandardCharsets.UTF_8));
        late = secondWaitsForTheNextRequest ? second : "";
        if (!secondWaitsForTheNextRequest) {
          pause(PAUSE_MS / 4);
          out.write(second.getBytes(StandardCharsets.UTF_8));
        }
      }
    } catch (IOException e) {
      // The host closed the connection.
    }
  }

  private static String response(int status, String body) {
    return "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String readPath(BufferedReader in) throws IOException {
    String requestLine = in.readLine();
    if (requestLine == null) {
      return "";
    }
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      continue;
    }
    return requestLine.split(" ")[1];
  }

  private static void pause(int ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    var address = (InetSocketAddress) host.getListenerInfo().get(0).getAddress();
    URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
    return caller.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private void checkOwnResponses() throws Exception {
    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = get("/r" + i);
      assertThat(response.body()).isEqualTo("failure of /r" + i);
      assertThat(response.statusCode()).isEqualTo(500);
      pause(PAUSE_MS);
    }
  }

  @Test
  void shouldCloseTheConnectionWhenASecondResponseArrivesWhileItIsIdle() throws Exception {
    checkOwnResponses();
  }

  /** Guards against a second response that arrives while the next request runs. */
  @Tag("known-red")
  @Test
  void shouldNotDeliverASecondResponseToTheNextRequestOfItsConnection() throws Exception {
    secondWaitsForTheNextRequest = true;
    checkOwnResponses();
  }
}
