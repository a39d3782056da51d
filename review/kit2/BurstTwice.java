import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** QUOTA: an operator lowers the burst of a tenant and takes that back. */
final class BurstTwice {
  private static final int RATE = 20;
  private static final int BURST = 200;
  private static final int LOWERED = 20;
  private static final int SENT_AT_ONCE = 230;
  private static final double WINDOW_S = 5;
  private static final double BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20;

  private BurstTwice() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args, BurstTwice::run);
  }

  private record Arrival(double at, double sent) {}

  private static String configuration(int version, int burst) {
    return "{\"version\":" + version + ",\"routes\":{\"r-roll\":{\"host\":\"roll.example\",\"prefix\":\"/roll/\","
        + "\"type\":\"idempotent\",\"timeoutS\":1.5,\"targetLatencyS\":0.6,\"priority\":1,"
        + "\"service\":\"roll-service\",\"maxAttempts\":2,\"public\":false}},\"services\":{\"roll-service\":"
        + "{\"healthPath\":\"/healthz\",\"maxConns\":820,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
        + "\"warmupPerS\":2.9}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":{\"council\":{\"apiKeys\":[\"key0\"],"
        + "\"priority\":1,\"ratePerS\":" + RATE + ",\"burst\":" + burst + "}}}";
  }

  private static boolean run(Rig rig) throws Exception {
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    for (int i = 0; i < 12; i++) {
      rig.backend(i, "roll-service", "z-a", 8, (b, request, s, out) -> {
        String id = request.header("cactusstack-request-id");
        arrivals.add(new Arrival(rig.now(), sentAt.get(id)));
        rig.record("ran " + id + " at " + b.id + " for " + request.header("cactusstack-tenant-id"));
        Thread.sleep(5);
        b.answer(request, out, "ok".getBytes());
      });
    }
    rig.store.put("op", "config", configuration(7, BURST));
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      hosts.add(rig.host(i, "z-a"));
    }
    for (Rig.Host h : hosts) {
      h.awaitReady(20_000);
    }
    // The tenant's bucket fills: it starts empty, and takes burst / rate to fill.
    Thread.sleep(6_000 + 1_000 * BURST / RATE);
    double start = rig.now();
    send(rig, hosts, sentAt, "first");
    if (rig.trouble) {
      rig.record("the operator lowers the burst to " + LOWERED);
      rig.store.put("op", "config", configuration(9, LOWERED));
      Thread.sleep(900);
      rig.record("the operator sets the burst to " + BURST + " again");
      rig.store.put("op", "config", configuration(12, BURST));
      Thread.sleep(900);
    } else {
      Thread.sleep(1_800);
    }
    send(rig, hosts, sentAt, "second");
    rig.record(String.format("both times within %.1f s", rig.now() - start));
    int most = 0;
    List<Arrival> all = List.copyOf(arrivals);
    for (Arrival from : all) {
      int n = 0;
      for (Arrival a : all) {
        n += a.sent() >= from.sent() && a.at() < from.sent() + WINDOW_S ? 1 : 0;
      }
      most = Math.max(most, n);
    }
    rig.record("ran " + all.size() + ", at most " + most + " in " + WINDOW_S + " s, bound " + BOUND);
    return most > BOUND;
  }

  private static void send(Rig rig, List<Rig.Host> hosts, Map<String, Double> sentAt, String name)
      throws InterruptedException {
    var answers = new TreeMap<String, AtomicInteger>();
    var left = new CountDownLatch(SENT_AT_ONCE);
    for (int n = 0; n < SENT_AT_ONCE; n++) {
      Rig.Host h = hosts.get(n % hosts.size());
      String id = name + "-" + n;
      rig.thread("client", () -> {
        sentAt.put(id, rig.now());
        String result;
        try {
          result = Integer.toString(Rig.call(h.ip, h.callersPort, 3_000, Http.head("GET /roll/1 HTTP/1.1",
              "Host: roll.example", "Cactusstack-Request-Id: " + id, "Cactusstack-Deadline-Ms: 3000",
              "Authorization: Bearer key0")).status());
        } catch (IOException e) {
          result = e.toString();
        }
        synchronized (answers) {
          answers.computeIfAbsent(result, k -> new AtomicInteger()).incrementAndGet();
        }
        rig.record("client sent " + id + " to " + h.name + ", answer " + result);
        left.countDown();
      });
      Thread.sleep(3);
    }
    left.await();
    rig.record(name + " answers " + answers);
  }
}
