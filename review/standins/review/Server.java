package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a service. It works on {@code slots} requests at the same time, queues four more and
 * rejects others as not executed. It registers itself in the store.
 */
class Server {
  /** How long the server works on a request, in milliseconds. */
  interface Work {
    long ms(Http.Message request);
  }

  private static final int QUEUE = 4;

  final String id;
  final String service;
  private final String zone;
  private final int slots;
  private final Store store;
  private final ServerSocket listening;
  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicInteger running = new AtomicInteger();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final long bornMs = System.currentTimeMillis();
  private int sequence;
  volatile boolean draining;
  volatile boolean ended;
  volatile double drainingSince = Double.MAX_VALUE;
  volatile double lastArrival = -1;
  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger arrivalsAfterBound = new AtomicInteger();
  Work work = request -> 30;
  int responseBytes = 400;

  /** Requests that arrive later than this after the draining entry was acknowledged are counted. */
  double drainS = 2.0;

  Server(Store store, String service, String id, String zone, int slots) throws IOException {
    this.store = store;
    this.service = service;
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.free = new Semaphore(slots, true);
    listening = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start("server " + id, this::accept);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** Writes the entry of this server into the store. */
  void register() {
    String entry =
        String.format(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"concurrency\":%d,\"state\":\"%s\",\"warmupLeftS\":0,\"sequence\":%d,\"born\":%d}",
            service, address(), zone, slots, draining ? "draining" : "ready", ++sequence, bornMs);
    store.put("servers", id, entry);
    if (draining) {
      drainingSince = Record.now();
    }
    Record.say(
        "server %s of %s at %s: state %s acknowledged by the store",
        id, service, address(), draining ? "draining" : "ready");
  }

  void drain() {
    draining = true;
    register();
  }

  /** Removes the entry and ends the server, with whatever it still works on. */
  void end() throws IOException {
    store.remove("servers", id);
    ended = true;
    listening.close();
    for (Socket s : connections) {
      s.close();
    }
    Record.say("server %s ended", id);
  }

  private void accept() throws Exception {
    while (!ended) {
      Socket s;
      try {
        s = listening.accept();
      } catch (IOException e) {
        return;
      }
      s.setTcpNoDelay(true);
      connections.add(s);
      Threads.start("connection of " + id, () -> serve(s));
    }
  }

  private void serve(Socket s) throws Exception {
    try (s) {
      var in = new BufferedInputStream(s.getInputStream(), 65_536);
      OutputStream out = s.getOutputStream();
      Http.Message m;
      while ((m = Http.read(in)) != null) {
        handle(m, out);
        out.flush();
      }
    } catch (IOException e) {
      if (!ended) {
        Record.say("server %s: a connection broke: %s", id, e.getMessage());
      }
    } finally {
      connections.remove(s);
    }
  }

  private String load() {
    return "Cactusstack-Server-Load: " + running.get() + "," + waiting.get() + "," + slots + ",100\r\n";
  }

  void handle(Http.Message m, OutputStream out) throws Exception {
    String requestId = m.header("Cactusstack-Request-Id");
    if (m.target().equals("/healthz")) {
      respond(out, draining ? "503 Unavailable" : "200 OK", "Cactusstack-Instance-Id: " + id + "\r\n" + load(), new byte[0]);
      return;
    }
    String expected = m.header("Cactusstack-Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      respond(out, "421 Misdirected Request", "Cactusstack-Instance-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    double at = Record.now();
    lastArrival = at;
    if (at > drainingSince + drainS) {
      arrivalsAfterBound.incrementAndGet();
      Record.say("server %s: request %s arrives %.2f s after it was acknowledged as draining", id, requestId, at - drainingSince);
    }
    if (waiting.incrementAndGet() > QUEUE) {
      waiting.decrementAndGet();
      respond(out, "503 Service Unavailable", "Cactusstack-Request-Id: " + requestId + "\r\nCactusstack-Not-Executed: 1\r\n" + load(), new byte[0]);
      return;
    }
    free.acquire();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      runs.incrementAndGet();
      Record.say("server %s runs %s %s %s, body %d bytes", id, requestId, m.method(), m.target(), m.body.length);
      Thread.sleep(work.ms(m));
    } finally {
      running.decrementAndGet();
      free.release();
    }
    byte[] body = body(requestId, responseBytes);
    respond(
        out,
        "200 OK",
        "Cactusstack-Request-Id: " + requestId + "\r\nCactusstack-Response-Seal: seal." + requestId + "." + body.length + "\r\nServer-Service: " + service + "\r\n" + load(),
        body);
  }

  /** The body that belongs to a request: its id, again and again. */
  static byte[] body(String requestId, int length) {
    byte[] b = new byte[length];
    byte[] unit = Http.bytes(requestId + "|");
    for (int i = 0; i < length; i++) {
      b[i] = unit[i % unit.length];
    }
    return b;
  }

  static void respond(OutputStream out, String status, String headers, byte[] body) throws IOException {
    out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"));
    out.write(body);
    out.flush();
  }
}
