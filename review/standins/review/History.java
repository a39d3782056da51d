package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a host that has not read the servers for longer than the store's history never reads them
 * again.
 */
public final class History {
  private static final String[] SERVICES = {"svc-a", "svc-b", "svc-d"};

  /** Clients of a service at each host; enough to keep all servers of the service in use. */
  private static final int CLIENTS = 3;

  private static final AtomicInteger NEXT = new AtomicInteger();
  private static volatile boolean traffic;
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger failed = new AtomicInteger();

  public static void main(String[] args) {
    Site.run(args, History::play);
  }

  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    StringBuilder routes = new StringBuilder();
    StringBuilder services = new StringBuilder();
    for (String s : SERVICES) {
      routes.append(routes.length() == 0 ? "" : ",").append("\"r-").append(s).append("\":").append(Site.route(s + ".example", "/p/", "idempotent", 2.0, s));
      services.append(services.length() == 0 ? "" : ",").append(Site.service(s));
    }
    store.put("op", "config", "{\"version\":1,\"routes\":{" + routes + "},\"services\":{" + services + "},\"limits\":" + Site.LIMITS + "}");
    List<Server> servers = new ArrayList<>();
    for (String s : SERVICES) {
      for (int i = 0; i < 8; i++) {
        Server server = new Server(store, s, "i-" + s + "-" + i, "zone-" + (char) ('a' + i % 3), 2);
        server.work = request -> 90;
        server.register();
        servers.add(server);
      }
    }
    List<Host> hosts = Site.startHosts(root, folder, store, 3);
    Thread.sleep(3_000);
    for (Host h : hosts) {
      for (String s : SERVICES) {
        for (int i = 0; i < CLIENTS; i++) {
          Threads.start("client", () -> client(h, s));
        }
      }
    }
    double t0 = Record.now();
    traffic = true;
    Threads.sleepUntil(t0 + 6);
    traffic = false;
    Record.say("quiet begins; served %d, not served %d", served.get(), failed.get());
    Threads.sleepUntil(t0 + 12);
    if (trouble) {
      // release, three of eight servers of each service, one after the other: the new one starts first.
      for (String s : SERVICES) {
        for (int i = 0; i < 3; i++) {
          Server added = new Server(store, s, "i-" + s + "-new" + i, "zone-" + (char) ('a' + i), 2);
          added.work = request -> 90;
          added.register();
          servers.add(added);
          Server old = find(servers, "i-" + s + "-" + i);
          old.drain();
          Threads.start("leaving", () -> { Thread.sleep(3_000); old.end(); });
          Thread.sleep(1_000);
        }
      }
    }
    Threads.sleepUntil(t0 + 38);
    Record.say("traffic returns");
    int servedBefore = served.get();
    int failedBefore = failed.get();
    traffic = true;
    Threads.sleepUntil(t0 + 44);
    List<Server> leaving = new ArrayList<>();
    for (String s : SERVICES) {
      Server b = find(servers, "i-" + s + "-3");
      b.drain();
      leaving.add(b);
    }
    Threads.sleepUntil(t0 + 54);
    traffic = false;
    int late = 0;
    for (Server b : leaving) {
      late += b.arrivalsAfterBound.get();
      Record.tell("%s was acknowledged as draining; %d requests reached it later than 2 s after", b.id, b.arrivalsAfterBound.get());
    }
    for (Server b : servers) {
      if (b.id.contains("new")) {
        Record.tell("%s, which joined in the quiet, ran %d requests", b.id, b.runs.get());
      }
    }
    Record.tell("after the quiet: served %d, not served %d; 410 answers of the store %d", served.get() - servedBefore, failed.get() - failedBefore, store.goneAnswers);
    return late == 0;
  }

  private static Server find(List<Server> servers, String id) {
    return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
  }

  private static void client(Host h, String service) throws Exception {
    while (true) {
      if (!traffic) {
        Thread.sleep(20);
        continue;
      }
      String id = String.format("%016x", 0x9c41d07b00000000L + NEXT.incrementAndGet());
      try (var c = new Client(h.ip(), h.port("frontend"))) {
        Record.say("client sends %s for %s to %s", id, service, h.name);
        c.send(Client.head("GET", service + ".example", "/p/x", id, 2_000, 0));
        Http.Message m = c.read(2_500);
        Record.say("client gets %d for %s", m.status(), id);
        (m.status() == 200 ? served : failed).incrementAndGet();
      } catch (IOException e) {
        failed.incrementAndGet();
        Record.say("client gets nothing for %s: %s", id, e.getMessage());
      }
      Thread.sleep(60);
    }
  }
}
