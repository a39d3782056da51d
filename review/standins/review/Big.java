package review;
import java.nio.file.Path;
import java.util.*;
public final class Big {
  public static void main(String[] args) { Site.run(args, Big::play); }
  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    store.put("op", "config", "{\"version\":1,\"routes\":{\"r1\":" + Site.route("s.example", "/p/", "idempotent", 2.0, "s") + ",\"r2\":" + Site.route("u.example", "/u/", "upload", 8.0, "s") + "},\"services\":{" + Site.service("s") + "},\"limits\":" + Site.LIMITS + "}");
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) { Server s = new Server(store, "s", "i-" + i, "zone-a", 2); s.register(); servers.add(s); }
    List<Host> hosts = Site.startHosts(root, folder, store, 1);
    Host h = hosts.get(0);
    Thread.sleep(2000);
    int mb = Integer.getInteger("mb", 20), n = Integer.getInteger("n", 1);
    int[] c = new int[4];
    for (int i = 0; i < 8; i++) { int k = i; Threads.start("small", () -> {
      int q = 0;
      while (true) { String id = "small" + k + "x" + q++;
        try (var cl = new Client(h.ip(), h.port("frontend"))) { 
          cl.send(Client.head("GET", "s.example", "/p/x", id, 2000, 0)); Http.Message m = cl.read(2500);
          synchronized (c) { c[m.status() == 200 ? 0 : 1]++; } if (m.status() != 200) Record.say("small %s %d", id, m.status());
        } catch (Exception e) { synchronized (c) { c[2]++; } Record.say("small %s: %s", id, e); }
        Thread.sleep(30); } }); }
    Thread.sleep(2000);
    Record.tell("before: ok %d other %d broken %d", c[0], c[1], c[2]); c[0]=c[1]=c[2]=0;
    for (int i = 0; i < n; i++) { int k = i; Threads.start("big", () -> {
      byte[] body = new byte[mb << 20];
      for (int q = 0; q < 3; q++) {
      try (var cl = new Client(h.ip(), h.port("frontend"))) {
        cl.send(Client.head("POST", "u.example", "/u/x", "big" + k + "q" + q, 8000, body.length));
        cl.socket.getOutputStream().write(body); cl.socket.getOutputStream().flush();
        Http.Message m = cl.read(9000); Record.tell("big %d: %d", k, m.status());
      } catch (Exception e) { Record.tell("big %d: %s", k, e); } } }); }
    Thread.sleep(12000);
    Record.tell("during: ok %d other %d broken %d alive %s", c[0], c[1], c[2], h.isAlive()); c[0]=c[1]=c[2]=0;
    Thread.sleep(5000);
    Record.tell("after: ok %d other %d broken %d alive %s", c[0], c[1], c[2], h.isAlive());
    String log = h.logText(); int at = log.indexOf("OutOfMemory"); Record.tell("oom in log %s", at < 0 ? "no" : log.substring(Math.max(0, at - 300), Math.min(log.length(), at + 1500)));
    store.put("op", "config", "{\"version\":2,\"routes\":{\"r1\":" + Site.route("s2.example", "/p/", "idempotent", 2.0, "s") + "},\"services\":{" + Site.service("s") + "},\"limits\":" + Site.LIMITS + "}");
    Thread.sleep(4000);
    try (var cl = new Client(h.ip(), h.port("frontend"))) { cl.send(Client.head("GET", "s2.example", "/p/x", "late", 2000, 0)); Record.tell("new route: %d", cl.read(2500).status()); }
    return true;
  }
}
