package review;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Case: a server answers uploads before it has read them, without a length, and crashes in the
 * middle of an answer; the client gets the first part as a complete success.
 */
public final class Broken {
  private static final int SERVERS = 9;
  private static final int UPLOAD_BYTES = Integer.getInteger("upload", 6 << 20);
  private static final double CALM_S = 4;
  private static final double MOST_S = 40;

  private static final List<Process> processes = new ArrayList<>();
  private static final Set<String> cutOff = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger next = new AtomicInteger();
  private static final AtomicInteger whole = new AtomicInteger();
  private static final AtomicInteger part = new AtomicInteger();
  private static final AtomicInteger other = new AtomicInteger();
  private static volatile double crashAfter = Double.MAX_VALUE;
  private static volatile boolean crashed;
  private static final AtomicReference<String> chosen = new AtomicReference<>();
  private static volatile boolean over;

  public static void main(String[] args) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    Site.run(args, Broken::play);
  }

  private static boolean play(Path root, Path folder, boolean trouble) throws Exception {
    var store = new Store(20_000);
    store.put(
        "op",
        "config",
        "{\"version\":1,\"routes\":{\"r1\":" + Site.route("u.example", "/u/", "upload", 2.5, "u")
            + "},\"services\":{" + Site.service("u") + "},\"limits\":" + Site.LIMITS + "}");
    for (int i = 0; i < SERVERS; i++) {
      startServer(root, store, "i-" + i, trouble);
    }
    Host h = Site.startHosts(root, folder, store, 1).get(0);
    Thread.sleep(2_000);
    double t0 = Record.now();
    crashAfter = t0 + CALM_S;
    List<Thread> clients = List.of(Threads.start("client", () -> upload(h)), Threads.start("client", () -> upload(h)));
    while (Record.now() < t0 + (trouble ? MOST_S : 12) && !crashed) {
      Thread.sleep(50);
    }
    Thread.sleep(4_000);
    over = true;
    for (Thread t : clients) {
      t.join(5_000);
    }
    Record.tell(
        "a server crashed: %s; successes with the whole body %d, with a part of it %d; other answers or none %d",
        crashed, whole.get(), part.get(), other.get());
    if (whole.get() == 0 || trouble && !crashed) {
      throw new IllegalStateException("nothing was served, or no server was in the middle of an answer");
    }
    return part.get() == 0;
  }

  private static void startServer(Path root, Store store, String id, boolean trouble) throws Exception {
    Process p =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m", "-Drcv=" + Integer.getInteger("rcv", 65_536), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-cp", System.getProperty("java.class.path"), "review.BrokenServer", id)
            .redirectErrorStream(true)
            .start();
    processes.add(p);
    var lines = new BufferedReader(new InputStreamReader(p.getInputStream()));
    String port = lines.readLine().split(" ")[1];
    store.put(
        "servers",
        id,
        "{\"service\":\"u\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"concurrency\":4,\"state\":\"ready\","
            + "\"warmupLeftS\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
    Threads.start("output of " + id, () -> {
      String line;
      while ((line = lines.readLine()) != null) {
        Record.say("server %s: %s", id, line);
        if (trouble && line.startsWith("half ") && Record.now() > crashAfter && chosen.compareAndSet(null, id)) {
          Thread.sleep(60);
          crashed = true;
          cutOff.add(line.substring(5));
          Record.say("server %s is killed (SIGKILL) in the middle of its answer to %s", id, line.substring(5));
          p.destroyForcibly();
        }
      }
    });
  }

  private static void upload(Host h) throws Exception {
    byte[] upload = new byte[UPLOAD_BYTES];
    new Random(1).nextBytes(upload);
    while (!over) {
      String id = String.format("%016x", 0x5a00000000000000L + next.incrementAndGet());
      try (var c = new Client(h.ip(), h.port("frontend"))) {
        Record.say("client sends upload %s of %d bytes", id, UPLOAD_BYTES);
        c.send(Client.head("POST", "u.example", "/u/x", id, 2_500, UPLOAD_BYTES));
        c.socket.getOutputStream().write(upload);
        Http.Message m = c.read(3_000);
        boolean same = Arrays.equals(m.body, Server.body(id, BrokenServer.ANSWER_BYTES));
        Record.say(
            "client gets %d for %s, seal '%s', body %d of %d bytes, complete by its Content-Length%s",
            m.status(), id, m.header("Cactusstack-Response-Seal"), m.body.length, BrokenServer.ANSWER_BYTES,
            cutOff.contains(id) ? " (its server crashed in the middle of the answer)" : "");
        (m.status() != 200 ? other : same ? whole : part).incrementAndGet();
      } catch (Exception e) {
        other.incrementAndGet();
        Record.say("client gets no answer for %s: %s", id, e);
      }
      Thread.sleep(50);
    }
  }
}
