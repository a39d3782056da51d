package dev.cactusstack.embedded;

import dev.cactusstack.ctl.CtlMain;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.UpstreamSpec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Fast upstream stand-ins and entry hosts, with the clients that the tests use. */
final class TestCluster implements AutoCloseable {
  static final long TIMEOUT_MS = 60_000;
  private static final String SETTINGS =
      ", \"requests\": {\"answer_timeout_ms\": 3000, \"queue_timeout_ms\": 5000}";

  final StandInEnvironment standIns;
  final EmbeddedHosts entryHosts;
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  TestCluster(int hosts) throws InterruptedException {
    Logger.getLogger("").setLevel(Level.SEVERE);
    standIns = StandInEnvironment.startModified(Deployment.QAZYNA, TestCluster::fast, 1);
    entryHosts =
        EmbeddedHosts.start(
            standIns, hosts, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), SETTINGS);
    if (!entryHosts.awaitReady(TIMEOUT_MS)) {
      throw new IllegalStateException("the hosts are not ready");
    }
  }

  private static UpstreamSpec fast(UpstreamSpec t) {
    return new UpstreamSpec(t.service(), t.dataCentre(), t.slots(), 2, 0, 1, 20);
  }

  EntryHost host(int i) {
    return entryHosts.hosts().get(i);
  }

  /** Sends bytes over a new connection, closes its output, and returns the whole response. */
  String sendRaw(int host, String... parts) throws IOException {
    try (var socket = new Socket("127.0.0.1", host(host).callerAddress().port())) {
      socket.setSoTimeout((int) TIMEOUT_MS);
      for (String p : parts) {
        socket.getOutputStream().write(p.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
      }
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketException e) {
      // A server that closes the connection before reading all input causes a reset.
      return "";
    }
  }

  /** Sends a request for a service through a host and returns the whole response. */
  String call(int host, String service) throws IOException {
    return sendRaw(host, "GET /x HTTP/1.1\r\nHost: " + service + "\r\nConnection: close\r\n\r\n");
  }

  /** Downloads a body of the given size and returns the number of received bytes. */
  long largeDownload(String service, long size) throws IOException {
    try (var socket = new Socket("127.0.0.1", host(0).callerAddress().port())) {
      String head =
          "GET /bytes/" + size + " HTTP/1.1\r\nHost: " + service + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      var in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
      int lineEndBytes = 0;
      while (lineEndBytes < 4) {
        int c = in.read();
        lineEndBytes = c == '\r' || c == '\n' ? lineEndBytes + 1 : 0;
      }
      return in.transferTo(java.io.OutputStream.nullOutputStream());
    }
  }

  /** Uploads a body of the given size and returns the response. */
  String largeUpload(String service, long size) throws IOException {
    try (var socket = new Socket("127.0.0.1", host(0).callerAddress().port())) {
      String head =
          "PUT /up HTTP/1.1\r\nHost: "
              + service
              + "\r\nConnection: close\r\nContent-Length: "
              + size
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      byte[] block = new byte[1 << 16];
      for (long sent = 0; sent < size; sent += block.length) {
        socket.getOutputStream().write(block);
      }
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Uploads slowly, as over a slow connection, and returns the response. */
  String slowUpload(int host, String service) throws IOException, InterruptedException {
    try (var socket = new Socket("127.0.0.1", host(host).callerAddress().port())) {
      String head = "POST /up HTTP/1.1\r\nHost: " + service + "\r\nContent-Length: 60\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      for (int i = 0; i < 60; i++) {
        socket.getOutputStream().write('x');
        socket.getOutputStream().flush();
        Thread.sleep(100);
      }
      byte[] buffer = new byte[1 << 14];
      int n = socket.getInputStream().read(buffer);
      return n < 0 ? "" : new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
    }
  }

  /** Returns the value of one metric of a host. */
  double metric(int host, String name) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + host(host).operatorAddress() + "/metrics");
    String text =
        client
            .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
            .body();
    return text.lines()
        .filter(l -> l.startsWith(name + " "))
        .mapToDouble(l -> Double.parseDouble(l.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }

  CommandResult ctl(int host, String... args) {
    var out = new ByteArrayOutputStream();
    var arguments = new java.util.ArrayList<String>();
    arguments.add("--operators");
    arguments.add(host(host).operatorAddress().toString());
    arguments.addAll(List.of(args));
    var stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    int code = CtlMain.run(arguments.toArray(new String[0]), Map.of(), stream, stream);
    return new CommandResult(code, out.toString(StandardCharsets.UTF_8));
  }

  record CommandResult(int code, String text) {}

  /** Waits for a condition; the timeout only keeps a failing test from hanging. */
  static void eventually(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(TIMEOUT_MS).toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("the condition did not become true");
      }
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    entryHosts.close();
    standIns.close();
  }
}
