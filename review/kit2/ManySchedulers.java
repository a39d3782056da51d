import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * FAILBACK: servers that start cold, on a deployment from which machines were removed over time.
 *
 * <p>A trial, no case: more machines are added, and more servers replaced at once, than the pages have. See REPORT-2.md.
 *
 * <p>The machines that are removed run one after another in batches, and register themselves. The
 * six machines that serve start after them.
 */
final class ManySchedulers {
  private static final int LIVE = 6;
  private static final int REMOVED = 120;
  private static final int BATCH = 30;
  private static final int SERVERS = 4;
  private static final double WARMUP_S = 3;
  private static final double WARMUP_PER_S = 6.6;
  private static final double BOUND = WARMUP_PER_S * 1.5 + 5;
  /** "crashes at a rate well above that", and above the bound of the rule. */
  private static final double CRASHES_ABOVE = 3 * WARMUP_PER_S;

  private static final int PER_HOST_PER_S = 20;

  private ManySchedulers() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args, ManySchedulers::run);
  }

  private record Arrival(double at, double sent) {}

  private static boolean run(Rig rig) throws Exception {
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    Map<String, ConcurrentLinkedQueue<Arrival>> arrivals = new ConcurrentHashMap<>();
    Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    Backend.Work work =
        (b, request, s, out) -> {
          String id = request.header("cactusstack-request-id");
          double now = rig.now();
          rig.record("ran " + id + " at " + b.id + (now - b.startedAt < WARMUP_S && b.warms ? ", cold" : ""));
          arrivals.computeIfAbsent(b.id, k -> new ConcurrentLinkedQueue<>())
              .add(new Arrival(now, sentAt.getOrDefault(id, now)));
          boolean cold = b.warms && now - b.startedAt < WARMUP_S;
          if (cold && arrivals.get(b.id).stream().filter(a -> a.at() > now - 1).count() > CRASHES_ABOVE) {
            b.crash();
          }
          Thread.sleep(cold ? 120 : 60);
          b.answer(request, out, "ok".getBytes());
        };
    rig.store.put("op", "config",
        "{\"version\":7,\"routes\":{\"r-reserve\":{\"host\":\"scan.example\",\"prefix\":\"/reserve/\","
            + "\"type\":\"non_idempotent\",\"timeoutS\":2,\"targetLatencyS\":0.3,\"priority\":1,"
            + "\"service\":\"scan-store\",\"maxAttempts\":2}},\"services\":{\"scan-store\":{\"healthPath\":"
            + "\"/healthz\",\"maxConns\":220,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
            + "\"warmupPerS\":6.6}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
    List<Backend> first = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      first.add(rig.backend(i, "scan-store", "z-a", 4, 0, work));
    }
    if (rig.trouble) {
      for (int n = 0; n < REMOVED; n += BATCH) {
        rig.addAndRemove(1_000 + n, Math.min(BATCH, REMOVED - n), "z-a");
      }
    }
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= LIVE; i++) {
      hosts.add(rig.host(i, "z-a"));
    }
    for (Rig.Host h : hosts) {
      h.awaitReady(20_000);
    }
    Thread.sleep(8_000);
    boolean[] over = {false};
    for (Rig.Host h : hosts) {
      rig.thread("clients of " + h.name, () -> {
        for (int n = 0; !over[0]; n++) {
          String id = h.name + "-" + n;
          rig.thread("client", () -> {
            sentAt.put(id, rig.now());
            String result;
            try {
              result = Integer.toString(Rig.call(h.ip, h.callersPort, 3_000, Http.head("POST /reserve/1 HTTP/1.1",
                  "Host: scan.example", "Cactusstack-Request-Id: " + id, "Cactusstack-Deadline-Ms: 1000", "Content-Length: 0")).status());
            } catch (IOException e) {
              result = e.toString();
            }
            rig.record("client of " + h.name + " sent " + id + String.format(" at %.3f", sentAt.get(id)) + ", answer " + result);
            answers.computeIfAbsent(result, k -> new AtomicInteger()).incrementAndGet();
          });
          Thread.sleep(1_000 / PER_HOST_PER_S);
        }
      });
    }
    Thread.sleep(3_000);
    rig.record("the servers are replaced by servers that start cold");
    List<Backend> second = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      second.add(rig.backend(20 + i, "scan-store", "z-a", 4, WARMUP_S, work));
    }
    for (Backend b : first) {
      b.leave();
    }
    Thread.sleep(6_000);
    over[0] = true;
    Thread.sleep(1_000);
    rig.record("all answers " + new TreeMap<>(answers));
    boolean broken = false;
    for (Backend b : second) {
      int most = mostInASecond(arrivals.getOrDefault(b.id, new ConcurrentLinkedQueue<>()), b.startedAt);
      rig.record("cold server " + b.id + ": at most " + most + " requests in a second, bound " + BOUND);
      broken |= most > BOUND;
    }
    return broken;
  }

  /** Requests that were sent and arrived inside one second, while the server was cold. */
  private static int mostInASecond(ConcurrentLinkedQueue<Arrival> all, double startedAt) {
    int most = 0;
    for (Arrival from : all) {
      int n = 0;
      for (Arrival a : all) {
        boolean cold = a.at() < startedAt + WARMUP_S;
        if (cold && a.sent() >= from.sent() && a.at() < from.sent() + 1) {
          n++;
        }
      }
      most = Math.max(most, n);
    }
    return most;
  }
}
