package dev.cactusstack.embedded;

import dev.cactusstack.ctl.CtlMain;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.Deployment;
import dev.cactusstack.standin.UpstreamTraits;
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

/** A site with quick upstreams and entry hosts, and the clients that tests use. */
final class TestSite implements AutoCloseable {
  static final long PATIENCE_MS = 60_000;
  private static final String SETTINGS =
      ", \"requests\": {\"answer_timeout_ms\": 3000, \"queue_timeout_ms\": 5000}";

  final Site site;
  final EmbeddedHosts embedded;
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  TestSite(int hosts) throws InterruptedException {
    Logger.getLogger("").setLevel(Level.SEVERE);
    site = Site.startWith(Deployment.QAZYNA, TestSite::quick, 1);
    embedded =
        EmbeddedHosts.start(
            site, hosts, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), SETTINGS);
    if (!embedded.awaitReady(PATIENCE_MS)) {
      throw new IllegalStateException("the hosts are not ready");
    }
  }

  private static UpstreamTraits quick(UpstreamTraits t) {
    return new UpstreamTraits(t.service(), t.dataCentre(), t.slots(), 2, 0, 1, 20);
  }

  EntryHost host(int i) {
    return embedded.hosts().get(i);
  }

  /** Sends bytes over a new connection, ends the sending side, and returns all that comes back. */
  String raw(int host, String... parts) throws IOException {
    try (var socket = new Socket("127.0.0.1", host(host).callerAddress().port())) {
      socket.setSoTimeout((int) PATIENCE_MS);
      for (String p : parts) {
        socket.getOutputStream().write(p.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
      }
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketException e) {
      // The server may close while there is unread input; the client then sees a reset.
      return "";
    }
  }

  /** A request of the service through a host; the answer's whole text. */
  String call(int host, String service) throws IOException {
    return raw(host, "GET /x HTTP/1.1\r\nHost: " + service + "\r\nConnection: close\r\n\r\n");
  }

  /** Downloads and returns the number of body bytes. */
  long largeDownload(String service, long size) throws IOException {
    try (var socket = new Socket("127.0.0.1", host(0).callerAddress().port())) {
      String head =
          "GET /bytes/" + size + " HTTP/1.1\r\nHost: " + service + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      var in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
      int ends = 0;
      while (ends < 4) {
        int c = in.read();
        ends = c == '\r' || c == '\n' ? ends + 1 : 0;
      }
      return in.transferTo(java.io.OutputStream.nullOutputStream());
    }
  }

  /** Uploads in chunks of an unknown total, and returns the answer. */
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

  /** Uploads slowly, as over a poor line, and returns the answer. */
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

  /** Reads one number of a host's metrics. */
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

  Ended ctl(int host, String... args) {
    var out = new ByteArrayOutputStream();
    var all = new java.util.ArrayList<String>();
    all.add("--operators");
    all.add(host(host).operatorAddress().toString());
    all.addAll(List.of(args));
    var stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    int code = CtlMain.run(all.toArray(new String[0]), Map.of(), stream, stream);
    return new Ended(code, out.toString(StandardCharsets.UTF_8));
  }

  record Ended(int code, String text) {}

  /** Waits for a condition; the wait is a bound against hanging, not a measurement. */
  static void eventually(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + Duration.ofMillis(PATIENCE_MS).toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not become true");
      }
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    embedded.close();
    site.close();
  }
}
