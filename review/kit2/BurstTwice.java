import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** QUOTA: an operator lowers the burst of a tenant and takes that back, in quick succession. */
final class BurstTwice {
  private static final int RATE = 65;
  private static final int BURST = 65;
  private static final int LOWERED = 5;
  private static final int PER_HOST_PER_S = 60;
  private static final int TIMES = 4;
  private static final long GAP_MS = 350;
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
    // The tenant's bucket fills: it starts empty.
    Thread.sleep(8_000);
    boolean[] over = {false};
    Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    for (Rig.Host h : hosts) {
      rig.thread("clients of " + h.name, () -> {
        for (int n = 0; !over[0]; n++) {
          String id = h.name + "-" + n;
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
            answers.computeIfAbsent(result, k -> new AtomicInteger()).incrementAndGet();
            rig.record("client sent " + id + ", answer " + result);
          });
          Thread.sleep(1_000 / PER_HOST_PER_S);
        }
      });
    }
    Thread.sleep(1_000);
    for (int n = 0; n < TIMES; n++) {
      if (rig.trouble) {
        rig.record("the operator lowers the burst to " + LOWERED);
        rig.store.put("op", "config", configuration(9 + 5 * n, LOWERED));
      }
      Thread.sleep(GAP_MS);
      if (rig.trouble) {
        rig.record("the operator sets the burst to " + BURST + " again");
        rig.store.put("op", "config", configuration(11 + 5 * n, BURST));
      }
      Thread.sleep(GAP_MS);
    }
    Thread.sleep(4_000);
    over[0] = true;
    Thread.sleep(1_000);
    rig.record("all answers " + new TreeMap<>(answers));
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
}
