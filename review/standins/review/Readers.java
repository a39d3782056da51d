package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the machines that watch the configuration lose power together, right before it changes; the
 * others go on with the old one.
 */
public final class Readers {
  private static final double CONFIG_APPLY_S = 2;
  private static final double DARK_S = 2;

  /** The three machines of each zone that watch, by the rendezvous hash of their names. */
  private static final Set<String> WATCHING =
      Set.of(
          "edge-zone-a-1", "edge-zone-a-2", "edge-zone-a-4",
          "edge-zone-b-1", "edge-zone-b-2", "edge-zone-b-4",
          "edge-zone-c-1", "edge-zone-c-3", "edge-zone-c-4");
  private static final AtomicInteger next = new AtomicInteger();
  private static volatile double acknowledgedAt = Double.MAX_VALUE;
  private static volatile boolean over;
  private static final AtomicInteger stale = new AtomicInteger();
  private static final AtomicInteger fresh = new AtomicInteger();
  private static volatile double lastStaleAfter;

  public static void main(String[] args) {
    Site.run(args, Readers::play);
  }

  private static String configuration(int version, String service) {
    return "{\"version\":" + version + ",\"routes\":{\"r1\":" + Site.route("s.example", "/p/", "idempotent", 1.2, service)
        + "},\"services\":{" + Site.service("before") + "," + Site.service("after") + "},\"limits\":" + Site.LIMITS + "}";
  }

  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    store.put("op", "config", configuration(1, "before"));
    for (int i = 0; i < 3; i++) {
      new Server(store, "before", "i-before-" + i, "zone-" + (char) ('a' + i), 4).register();
      new Server(store, "after", "i-after-" + i, "zone-" + (char) ('a' + i), 4).register();
    }
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      String zone = "zone-" + (char) ('a' + i % 3);
      hosts.add(new Host(root, folder, "edge-" + zone + "-" + (i / 3 + 1), zone, store.address()));
    }
    for (Host h : hosts) {
      h.start();
    }
    for (Host h : hosts) {
      if (!h.awaitReady(30)) {
        throw new IOException("host " + h.name + " was not ready in 30 s");
      }
    }
    Thread.sleep(28_000);
    Record.tell("%d machines watch the configuration", store.watching("op"));
    List<Host> lost = new ArrayList<>();
    for (Host h : hosts) {
      if (WATCHING.contains(h.name)) {
        lost.add(h);
      } else {
        Threads.start("client", () -> client(h));
      }
    }
    Thread.sleep(2_000);
    if (trouble) {
      for (Host h : lost) {
        h.signal("KILL");
      }
      Thread.sleep(50);
      Record.tell("%d machines lost power, %d still watch the configuration", lost.size(), store.watching("op"));
      if (store.watching("op") > 0) {
        throw new IllegalStateException("other machines watch than expected");
      }
    }
    store.put("op", "config", configuration(2, "after"));
    acknowledgedAt = Record.now();
    Record.say("the change is acknowledged");
    if (trouble) {
      Threads.sleepUntil(acknowledgedAt + DARK_S);
      for (Host h : lost) {
        h.start();
      }
    }
    Threads.sleepUntil(acknowledgedAt + 7);
    over = true;
    Record.tell("machines that lost nothing: %d requests sent later than %.0f s after the acknowledgement were run by the old service, the last %.2f s after; %d by the new one", stale.get(), CONFIG_APPLY_S, lastStaleAfter, fresh.get());
    return stale.get() == 0;
  }

  private static void client(Host h) throws Exception {
    while (!over) {
      String id = String.format("%016x", 0x7700000000000000L + next.incrementAndGet());
      double at = Record.now();
      try (var c = new Client(h.ip(), h.port("frontend"))) {
        c.send(Client.head("GET", "s.example", "/p/x", id, 1_200, 0));
        Http.Message m = c.read(2_000);
        String by = m.header("Server-Service");
        Record.say("%s: %s sent at %.3f s answered %d by service '%s'", h.name, id, at, m.status(), by);
        if (at > acknowledgedAt + CONFIG_APPLY_S && m.status() == 200) {
          if (by.equals("before")) {
            stale.incrementAndGet();
            lastStaleAfter = Math.max(lastStaleAfter, at - acknowledgedAt);
          } else {
            fresh.incrementAndGet();
          }
        }
      } catch (IOException e) {
        Record.say("%s: %s not answered: %s", h.name, id, e.getMessage());
      }
      Thread.sleep(100);
    }
  }
}
