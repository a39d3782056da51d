package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: at the end of a release, the connections to the store go silent and a server's entry is
 * removed; the hosts take that for an outage of the store and go on using the server.
 */
public final class Lapsed {
  private static final double DRAIN_S = 2;
  private static final double CONTACT_S = 3;
  private static final AtomicInteger next = new AtomicInteger();
  private static final AtomicInteger ok = new AtomicInteger();
  private static volatile double removedAt = Double.MAX_VALUE;
  private static volatile double silentAt = Double.NEGATIVE_INFINITY;
  private static final Map<String, Double> sentAt = new ConcurrentHashMap<>();
  private static volatile boolean over;
  private static final List<Double> late = java.util.Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Site.run(args, Lapsed::play);
  }

  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    var proxy = new SilentProxy(store.address());
    store.put(
        "op",
        "config",
        "{\"version\":1,\"routes\":{\"r1\":" + Site.route("s.example", "/p/", "idempotent", 1.2, "s")
            + "},\"services\":{" + Site.service("s") + "},\"limits\":" + Site.LIMITS + "}");
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      Server s = new Server(store, "s", "i-" + i, "zone-" + (char) ('a' + i % 3), 2) {
        @Override
        void handle(Http.Message m, java.io.OutputStream out) throws Exception {
          double at = Record.now();
          boolean inTouch = sentAt.getOrDefault(m.header("Cactusstack-Request-Id"), 0.0) > silentAt + CONTACT_S;
          if (id.equals("i-13") && !m.header("Cactusstack-Request-Id").isEmpty() && at > removedAt + DRAIN_S && inTouch) {
            late.add(at - removedAt);
            Record.say("request %s reaches i-13 %.2f s after its entry was removed", m.header("Cactusstack-Request-Id"), at - removedAt);
          }
          super.handle(m, out);
        }
      };
      s.work = request -> 60;
      s.register();
      servers.add(s);
    }
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Host h = new Host(root, folder, "edge-zone-" + (char) ('a' + i) + "-1", "zone-" + (char) ('a' + i), proxy.address());
      h.start();
      hosts.add(h);
    }
    for (Host h : hosts) {
      if (!h.awaitReady(20)) {
        throw new IOException("host " + h.name + " was not ready in 20 s");
      }
    }
    Thread.sleep(3_000);
    for (Host h : hosts) {
      for (int i = 0; i < 4; i++) {
        Threads.start("client", () -> client(h));
      }
    }
    Thread.sleep(4_000);
    // release: six of 14 servers are replaced, two each 0.88 s; the new ones start first.
    for (int step = 0; step < 3; step++) {
      for (int i = 0; i < 2; i++) {
        Server added = new Server(store, "s", "i-new-" + (step * 2 + i), "zone-" + (char) ('a' + i), 2);
        added.work = request -> 60;
        added.register();
        servers.get(step * 2 + i).drain();
      }
      Thread.sleep(880);
    }
    if (trouble) {
      Record.tell("%d connections to the store go silent; new ones work", proxy.silence());
      silentAt = Record.now();
    }
    Thread.sleep(100);
    // scale_in: a server that doesn't report draining; its entry is removed, and it serves on for a while.
    store.remove("servers", "i-13");
    removedAt = Record.now();
    Record.say("the store acknowledges the removal of i-13");
    Thread.sleep(8_000);
    over = true;
    double last = late.stream().mapToDouble(d -> d).max().orElse(0);
    Record.tell("answered %d; %d requests from machines in touch reached i-13 later than %.0f s after its entry was removed, the last %.2f s after", ok.get(), late.size(), DRAIN_S, last);
    return late.isEmpty();
  }

  private static void client(Host h) throws Exception {
    while (!over) {
      String id = String.format("%016x", 0x6600000000000000L + next.incrementAndGet());
      try (var c = new Client(h.ip(), h.port("frontend"))) {
        sentAt.put(id, Record.now());
        Record.say("client sends %s to %s", id, h.name);
        c.send(Client.head("GET", "s.example", "/p/x", id, 1_200, 0));
        int status = c.read(2_000).status();
        Record.say("client gets %d for %s", status, id);
        if (status == 200) {
          ok.incrementAndGet();
        }
      } catch (IOException e) {
        Record.say("client gets nothing for %s: %s", id, e.getMessage());
      }
      Thread.sleep(40);
    }
  }
}
