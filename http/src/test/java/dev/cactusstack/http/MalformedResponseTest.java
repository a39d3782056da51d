package dev.cactusstack.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Sends requests to a server that writes exactly what a test gives it, and may reset. */
@Timeout(60)
class MalformedResponseTest {
  private static final int UPLOAD_BYTES = 8 << 20;
  private static final int PAUSE_MS = 30;

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

  private final ServerSocket server;
  private final XnioWorker worker;
  private final HttpClient client;
  private volatile String response = "";
  private volatile boolean resets;

  MalformedResponseTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
    client = new HttpClient(worker, Optional.empty());
  }

  @BeforeEach
  void start() {
    startThread(this::acceptConnections);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    worker.shutdownNow();
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

  /** Reads the head of the request and a part of its body, responds, and ends the connection. */
  private void serve(Socket connection) {
    try (connection) {
      InputStream in = connection.getInputStream();
      in.readNBytes(1);
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
      // The client closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private HttpResponse send(int bodyBytes) {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
    return client
        .send(new HttpRequest("POST", uri, Map.of(), new byte[bodyBytes], Duration.ofMillis(5_000)))
        .join();
  }

  /** Guards against a part of a body that a reset during the upload ends like a complete one. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldFailWhenTheConnectionIsResetDuringTheUpload(Part part) {
    resets = true;
    response = part.text;
    for (int i = 0; i < ROUNDS; i++) {
      assertThatThrownBy(() -> send(UPLOAD_BYTES))
          .isInstanceOf(CompletionException.class)
          .hasCauseInstanceOf(HttpException.class);
    }
  }

  /** Guards against a body that ends with a connection that did not carry the whole request. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void shouldFailWhenTheConnectionIsClosedDuringTheUpload(Part part) {
    response = part.text;
    assertThatThrownBy(() -> send(UPLOAD_BYTES)).hasCauseInstanceOf(HttpException.class);
  }

  /** Guards against an empty body that is delivered although bytes of a body follow the head. */
  @ParameterizedTest
  @CsvSource({"0, true", "1, true", "0, false", "1, false"})
  void shouldFailWhenTheEndOfTheBodyIsUnknown(int bodyBytes, boolean reset) {
    resets = reset;
    response = Part.NO_LENGTH.text;
    assertThatThrownBy(() -> send(bodyBytes)).hasCauseInstanceOf(HttpException.class);
  }

  /** Guards against a status that is none, which callers of the client would take for one. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "101", "102", "199", "600", "999"})
  void shouldFailWhenTheStatusIsNotThatOfAResponse(String status) {
    response = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    assertThatThrownBy(() -> send(0)).hasCauseInstanceOf(HttpException.class);
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 204, 302, 404, 599})
  void shouldDeliverACompleteResponse(int status) {
    String length = status == 204 ? "" : "Content-Length: 0\r\n";
    response = "HTTP/1.1 " + status + " X\r\n" + length + "\r\n";
    assertThat(send(0).status()).isEqualTo(status);
  }
}
