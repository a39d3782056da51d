package dev.cactusstack.gateway.net;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends requests over loopback to a server that writes exactly what a test gives it. */
@Timeout(60)
class MalformedResponseTest {
  private static final int UPLOAD_BYTES = 8 << 20;
  private static final int PAUSE_MS = 30;
  private static final long TIMEOUT_MS = 5_000;

  /** Whether the read or the write finds a reset is a race, so each case runs several times. */
  private static final int ROUNDS = 20;

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

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client =
      new HttpClient(
          loop,
          new HttpClientSettings(2_000, 5_000, true, 1 << 20, 1 << 20),
          () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  private final ServerSocket server;
  private volatile String response = "";
  private volatile boolean resets;

  MalformedResponseTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  }

  @BeforeEach
  void start() {
    startThread(this::acceptConnections);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void startThread(Runnable task) {
    var thread = new Thread(task, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (!server.isClosed()) {
        Socket connection = server.accept();
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
      OutputStream out = connection.getOutputStream();
      out.write(response.getBytes(StandardCharsets.UTF_8));
      out.flush();
      Thread.sleep(PAUSE_MS);
      if (resets) {
        connection.setSoLinger(true, 0);
        return;
      }
      connection.shutdownOutput();
      Thread.sleep(PAUSE_MS);
    } catch (IOException e) {
      // The client closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ExchangeResult send(int bodyBytes) throws Exception {
    var request =
        new OutgoingRequest(
            "pool",
            new Address("127.0.0.1", server.getLocalPort()),
            HttpMethod.POST,
            "/",
            new DefaultHttpHeaders().set("host", "server"),
            new byte[bodyBytes],
            ResponseMatcher.ANY,
            Long.MAX_VALUE);
    var result = new CompletableFuture<ExchangeResult>();
    loop.execute(() -> client.send(request, TIMEOUT_MS, result::complete));
    return result.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against a part of a body that a reset during the upload completes. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldBeIncompleteWhenTheConnectionIsResetDuringTheUpload(Part part) throws Exception {
    resets = true;
    response = part.text;
    for (int i = 0; i < ROUNDS; i++) {
      assertThat(send(UPLOAD_BYTES)).isInstanceOf(ExchangeResult.Incomplete.class);
    }
  }

  /** Guards against a body that ends with a connection that did not carry the whole request. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldBeIncompleteWhenTheConnectionIsClosedDuringTheUpload(Part part) throws Exception {
    response = part.text;
    assertThat(send(UPLOAD_BYTES)).isInstanceOf(ExchangeResult.Incomplete.class);
  }

  /** Only an orderly close after the whole request ends a body without a length. */
  @ParameterizedTest
  @CsvSource({
    "NO_LENGTH, true, false",
    "NO_LENGTH, false, true",
    "NO_LENGTH_CLOSE, true, false",
    "NO_LENGTH_CLOSE, false, true",
    "LENGTH, false, false",
    "CHUNKS, false, false"
  })
  void shouldBeCompleteOnlyWhenTheServerCloses(Part part, boolean reset, boolean complete)
      throws Exception {
    resets = reset;
    response = part.text;
    assertThat(send(1) instanceof ExchangeResult.Response).isEqualTo(complete);
  }

  /** Guards against a status that is none. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "101", "102", "199", "600", "999"})
  void shouldBeIncompleteWhenTheStatusIsNotThatOfAResponse(String status) throws Exception {
    response = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    assertThat(send(1)).isInstanceOf(ExchangeResult.Incomplete.class);
  }
}
