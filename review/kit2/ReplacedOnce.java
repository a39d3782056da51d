import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * RECOVER: all machines lose power after each of them was replaced once by another.
 *
 * <p>A trial, not one of the cases: see REPORT-2.md.
 */
final class ReplacedOnce {
  private static final int MACHINES = 4;
  private static final int TENANTS = 3;
  private static final int RATE = 20;
  private static final double DEMAND = 0.8;
  private static final double RECOVERY_S = 15;
  private static final double WATCHED_S = 15;

  private ReplacedOnce() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args, ReplacedOnce::run);
  }

  private record Sent(double at, String result) {}

  private static boolean run(Rig rig) throws Exception {
    for (int i = 0; i < 8; i++) {
      rig.backend(i, "roll-service", "z-a", 4, (b, request, s, out) -> {
        rig.record("ran " + request.header("cactusstack-request-id") + " at " + b.id);
        Thread.sleep(40);
        b.answer(request, out, "ok".getBytes());
      });
    }
    StringBuilder tenants = new StringBuilder();
    for (int t = 0; t < TENANTS; t++) {
      tenants.append(t == 0 ? "" : ",").append("\"council").append(t).append("\":{\"apiKeys\":[\"key").append(t)
          .append("\"],\"priority\":1,\"ratePerS\":").append(RATE).append(",\"burst\":").append(RATE).append("}");
    }
    rig.store.put("op", "config",
        "{\"version\":7,\"routes\":{\"r-roll\":{\"host\":\"roll.example\",\"prefix\":\"/roll/\","
            + "\"type\":\"idempotent\",\"timeoutS\":1.5,\"targetLatencyS\":0.6,\"priority\":1,"
            + "\"service\":\"roll-service\",\"maxAttempts\":2,\"public\":false}},\"services\":{\"roll-service\":"
            + "{\"healthPath\":\"/healthz\",\"maxConns\":820,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
            + "\"warmupPerS\":2.9}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":{" + tenants + "}}");
    List<Rig.Host> machines = new ArrayList<>();
    for (int i = 1; i <= MACHINES; i++) {
      machines.add(rig.host(i, "z-a"));
    }
    for (Rig.Host h : machines) {
      h.awaitReady(20_000);
    }
    Thread.sleep(5_000);
    if (rig.trouble) {
      rig.record("each machine is replaced by another one at a new address");
      for (int i = 0; i < MACHINES; i++) {
        Rig.Host added = rig.host(20 + i, "z-a");
        added.awaitReady(20_000);
        Thread.sleep(1_000);
        machines.get(i).terminate();
        machines.get(i).process.waitFor();
        machines.set(i, added);
      }
    }
    Thread.sleep(5_000);
    Map<String, Sent> all = new ConcurrentHashMap<>();
    boolean[] over = {false};
    for (int t = 0; t < TENANTS; t++) {
      int tenant = t;
      rig.thread("clients of a tenant", () -> {
        for (int n = 0; !over[0]; n++) {
          String id = "t" + tenant + "-" + n;
          Rig.Host h = machines.get(n % MACHINES);
          rig.thread("client", () -> {
            double at = rig.now();
            String result;
            try {
              result = Integer.toString(Rig.call(h.ip, h.callersPort, 3_000, Http.head("GET /roll/1 HTTP/1.1",
                  "Host: roll.example", "Cactusstack-Request-Id: " + id, "Cactusstack-Deadline-Ms: 3000",
                  "Authorization: Bearer key" + tenant)).status());
            } catch (IOException e) {
              result = e.toString();
            }
            rig.record(String.format("client sent %s to %s at %.3f, answer %s", id, h.name, at, result));
            all.put(id, new Sent(at, result));
          });
          Thread.sleep((long) (1_000 / (RATE * DEMAND)));
        }
      });
    }
    Thread.sleep(10_000);
    double fault = rig.now();
    rig.record("all machines lose power");
    for (Rig.Host h : machines) {
      h.process.destroyForcibly();
    }
    for (Rig.Host h : machines) {
      h.process.waitFor();
    }
    Thread.sleep(1_000);
    for (Rig.Host h : machines) {
      h.start();
    }
    for (Rig.Host h : machines) {
      h.awaitReady(20_000);
    }
    double back = rig.now();
    rig.record("all machines are back and ready");
    Thread.sleep((long) ((RECOVERY_S + WATCHED_S) * 1_000));
    over[0] = true;
    Thread.sleep(3_200);
    double before = share(rig, all, "before the fault", 0, fault - 2);
    double after = share(rig, all, "later than recoveryS after the machines were back", back + RECOVERY_S, 1e9);
    return before >= 0.25 && after < 0.25;
  }

  private static double share(Rig rig, Map<String, Sent> all, String when, double from, double to) {
    Map<String, Integer> results = new java.util.TreeMap<>();
    int sent = 0;
    for (Sent s : all.values()) {
      if (s.at() >= from && s.at() < to) {
        sent++;
        results.merge(s.result(), 1, Integer::sum);
      }
    }
    double served = results.getOrDefault("200", 0) / (double) Math.max(1, sent);
    rig.record(String.format("sent %s: %d, served %.3f, answers %s", when, sent, served, results));
    return served;
  }
}
