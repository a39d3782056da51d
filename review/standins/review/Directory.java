package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a machine is lost for good while the others are restarted in turn; the directory goes on
 * naming it.
 */
public final class Directory {
  private static final double CONTACT_S = 3;
  private static final double ROLL_GAP_S = 1;
  private static final int HOSTS = 18;

  /** When the process of each host that answers was started; absent from SIGTERM until a start. */
  private static final Map<Host, Double> startedAt = new ConcurrentHashMap<>();

  private static volatile double killedAt = Double.MAX_VALUE;
  private static volatile Host lost;
  private static final List<Host> hosts = new ArrayList<>();
  private static int asked;
  private static int wrong;
  private static double lastWrongAt;

  public static void main(String[] args) {
    Site.run(args, Directory::play);
  }

  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    store.put(
        "op",
        "config",
        "{\"version\":1,\"routes\":{\"r1\":" + Site.route("s.example", "/p/", "idempotent", 2.0, "s")
            + "},\"services\":{" + Site.service("s") + "},\"limits\":" + Site.LIMITS + "}");
    for (int i = 0; i < 3; i++) {
      new Server(store, "s", "i-" + i, "zone-" + (char) ('a' + i), 2).register();
    }
    for (int i = 0; i < HOSTS; i++) {
      String zone = "zone-" + (char) ('a' + i % 3);
      hosts.add(new Host(root, folder, "edge-" + zone + "-" + (i / 3 + 1), zone, store.address()));
    }
    for (Host h : hosts) {
      h.start();
      startedAt.put(h, Record.now());
    }
    for (Host h : hosts) {
      if (!h.awaitReady(30)) {
        throw new IOException("host " + h.name + " was not ready in 30 s");
      }
    }
    // The last machine of zone-c.
    lost = hosts.get(17);
    Thread.sleep(5_000);
    // The clients of zone-c ask the machines there, which are nearest.
    for (int i = 2; i < 17; i += 3) {
      Host h = hosts.get(i);
      Threads.start("asks " + h.name, () -> ask(h));
    }
    double t0 = Record.now();
    // roll_term: SIGTERM to one machine a second, zone after zone from zone-c on; its process is
    // started again when it ended.
    List<Thread> restarts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Host h = hosts.get(2 - i / 6 + i % 6 * 3);
      if (h == lost) {
        continue;
      }
      Threads.sleepUntil(t0 + i * ROLL_GAP_S);
      startedAt.remove(h);
      h.signal("TERM");
      restarts.add(Threads.start("restart", () -> {
        while (h.isAlive()) {
          Thread.sleep(20);
        }
        h.start();
        startedAt.put(h, Record.now());
      }));
      if (i == 1 && trouble) {
        // The machine is lost, with no SIGTERM, and doesn't come back.
        startedAt.remove(lost);
        lost.signal("KILL");
        killedAt = Record.now();
      }
    }
    for (Thread t : restarts) {
      t.join();
    }
    Thread.sleep(10_000);
    synchronized (Directory.class) {
      Record.tell("%d answers of the directory; %d of machines in touch name %s more than %.0f s after it was killed, the last %.1f s after", asked, wrong, lost.name, CONTACT_S + 3, wrong == 0 ? 0 : lastWrongAt - killedAt);
      return wrong <= 3;
    }
  }

  private static void ask(Host h) throws Exception {
    while (true) {
      double at = Record.now();
      try (var c = new Client(h.ip(), h.port("directory"))) {
        c.send("GET /v1/resolve?name=s.example&region=r&zone=zone-c HTTP/1.1\r\nHost: x\r\n\r\n");
        Http.Message m = c.read(1_000);
        Double started = startedAt.get(h);
        boolean inTouch = started != null && at - started > CONTACT_S;
        String body = new String(m.body);
        Record.say("%s answers %d %s%s", h.name, m.status(), body, inTouch ? "" : " (not in touch)");
        synchronized (Directory.class) {
          asked++;
          if (inTouch && m.status() == 200 && at - killedAt > CONTACT_S + 3
              && body.contains('"' + lost.address("frontend") + '"')
              && hosts.stream().anyMatch(o -> o.isAlive() && body.contains('"' + o.address("frontend") + '"'))) {
            wrong++;
            lastWrongAt = at;
            Record.say("  names %s, which was killed %.1f s ago", lost.name, at - killedAt);
          }
        }
      } catch (IOException e) {
        // The process is down at this moment.
      }
      Thread.sleep(100);
    }
  }
}
