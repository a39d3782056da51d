import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a server: registers itself in the store and answers what it is sent. */
final class Backend implements AutoCloseable {
  /** Answers one request; the default writes a sealed 200 with the id of the request. */
  interface Work {
    void run(Backend server, Http.Message request, Socket connection, OutputStream out)
        throws Exception;
  }

  private final Rig rig;
  private final ServerSocket listener;
  final String id;
  final String service;
  final String zone;
  private final int slots;
  private final Work work;
  private final double warmupS;
  final double startedAt;
  final boolean warms;
  final long born = System.currentTimeMillis();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger sequence = new AtomicInteger();
  final AtomicInteger running = new AtomicInteger();
  volatile String state = "ready";
  volatile boolean beats = true;

  Backend(Rig rig, String ip, String id, String service, String zone, int slots, double warmupS, Work work)
      throws IOException {
    this.rig = rig;
    this.warmupS = warmupS;
    this.startedAt = rig.now();
    this.warms = warmupS > 0;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.work = work;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 512);
    rig.thread("server " + id, this::accept);
    rig.thread("beat " + id, this::beat);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  void beatNow() {
    rig.store.put("servers", id,
        "{\"service\":" + Json.quote(service) + ",\"address\":\"" + address() + "\",\"zone\":"
            + Json.quote(zone) + ",\"version\":\"v1\",\"concurrency\":" + slots + ",\"state\":\""
            + state + "\",\"warmupLeftS\":" + Math.max(0, startedAt + warmupS - rig.now()) + ",\"sequence\":" + sequence.incrementAndGet()
            + ",\"born\":" + born + "}");
  }

  private void beat() throws InterruptedException {
    while (beats && !listener.isClosed()) {
      beatNow();
      Thread.sleep(1_500);
    }
  }

  private void accept() throws IOException {
    while (!listener.isClosed()) {
      Socket s = listener.accept();
      s.setTcpNoDelay(true);
      rig.thread("request at " + id, () -> serve(s));
    }
  }

  private void serve(Socket s) throws Exception {
    connections.add(s);
    try (s) {
      var in = new BufferedInputStream(s.getInputStream(), 65_536);
      OutputStream out = s.getOutputStream();
      while (true) {
        Http.Message request = Http.read(in);
        if (request == null) {
          return;
        }
        if (request.target().equals("/healthz")) {
          out.write(Http.head("HTTP/1.1 200 OK", "Cactusstack-Instance-Id: " + id, load(), "Content-Length: 0"));
          out.flush();
          continue;
        }
        String expected = request.header("cactusstack-expected-instance");
        if (expected != null && !expected.equals(id)) {
          out.write(Http.head("HTTP/1.1 421 Misdirected Request", "Cactusstack-Instance-Id: " + id,
              "Cactusstack-Request-Id: " + request.header("cactusstack-request-id"), "Content-Length: 0"));
          out.flush();
          continue;
        }
        running.incrementAndGet();
        try {
          work.run(this, request, s, out);
        } finally {
          running.decrementAndGet();
        }
      }
    } finally {
      connections.remove(s);
    }
  }

  String load() {
    int n = running.get();
    return "Cactusstack-Server-Load: " + Math.min(n, slots) + "," + Math.max(0, n - slots) + "," + slots;
  }

  void answer(Http.Message request, OutputStream out, byte[] body, String... more) throws IOException {
    String[] fields = new String[more.length + 4];
    fields[0] = "Cactusstack-Request-Id: " + request.header("cactusstack-request-id");
    fields[1] = "Cactusstack-Response-Seal: s." + id + "." + request.header("cactusstack-request-id");
    fields[2] = load();
    fields[3] = "Content-Length: " + body.length;
    System.arraycopy(more, 0, fields, 4, more.length);
    out.write(Http.head("HTTP/1.1 200 OK", fields));
    out.write(body);
    out.flush();
  }

  /** Ends at once, with all its connections, and says nothing any more. */
  synchronized void crash() throws IOException {
    if (!listener.isClosed()) {
      rig.record("server " + id + " crashes with " + running.get() + " requests at work");
      close();
      for (Socket s : connections) {
        s.close();
      }
    }
  }

  /** Reports that it leaves, serves on for a while, and ends. */
  void leave() {
    state = "draining";
    beatNow();
    rig.thread("end of " + id, () -> {
      Thread.sleep(4_000);
      close();
      rig.store.remove("servers", id);
    });
  }

  @Override
  public void close() throws IOException {
    beats = false;
    listener.close();
  }
}
