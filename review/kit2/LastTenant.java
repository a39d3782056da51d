import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** ROUTE: a request whose key no configuration ever held, after the last tenant was taken out. */
final class LastTenant {
  private static final double CONFIG_APPLY_S = 2.5;

  private LastTenant() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args, LastTenant::run);
  }

  private static String configuration(int version, String tenants) {
    return "{\"version\":" + version + ",\"routes\":{\"r-roll\":{\"host\":\"roll.example\",\"prefix\":\"/roll/\","
        + "\"type\":\"idempotent\",\"timeoutS\":1.5,\"targetLatencyS\":0.6,\"priority\":1,"
        + "\"service\":\"roll-service\",\"maxAttempts\":2,\"public\":false}},\"services\":{\"roll-service\":"
        + "{\"healthPath\":\"/healthz\",\"maxConns\":820,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
        + "\"warmupPerS\":2.9}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":{" + tenants + "}}";
  }

  private static String tenant(String name, String key) {
    return "\"" + name + "\":{\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"ratePerS\":65,\"burst\":65}";
  }

  private static boolean run(Rig rig) throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    Set<String> keyPassedOn = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 4; i++) {
      rig.backend(i, "roll-service", "z-a", 4, (b, request, s, out) -> {
        String id = request.header("cactusstack-request-id");
        rig.record("ran " + id + " at " + b.id + ", tenant " + request.header("cactusstack-tenant-id")
            + ", Authorization " + request.header("authorization"));
        ran.add(id);
        if (request.header("authorization") != null) {
          keyPassedOn.add(id);
        }
        Thread.sleep(20);
        b.answer(request, out, "roll entry".getBytes());
      });
    }
    String council = tenant("council", "keyofcouncil");
    String solicitor = tenant("solicitor", "keyofsolicitor");
    rig.store.put("op", "config", configuration(7, council + "," + solicitor));
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      hosts.add(rig.host(i, "z-a"));
    }
    for (Rig.Host h : hosts) {
      h.awaitReady(20_000);
    }
    Thread.sleep(5_000);
    ask(rig, hosts, "before", "keyofcouncil", "keyofsolicitor", "keynobodyheld");
    rig.record("the operator takes the tenant solicitor out");
    rig.store.put("op", "config", configuration(9, council));
    Thread.sleep((long) (CONFIG_APPLY_S * 1_000) + 1_500);
    ask(rig, hosts, "one-left", "keyofcouncil", "keyofsolicitor", "keynobodyheld");
    if (rig.trouble) {
      rig.record("the operator takes the tenant council out, the last one");
      rig.store.put("op", "config", configuration(12, ""));
    }
    Thread.sleep((long) (CONFIG_APPLY_S * 1_000) + 1_500);
    ask(rig, hosts, "after", "keyofcouncil", "keyofsolicitor", "keynobodyheld");
    long neverHeld = ran.stream().filter(id -> id.contains("keynobodyheld")).count();
    long dropped = ran.stream().filter(id -> id.startsWith("after-") && (rig.trouble || id.contains("solicitor"))).count();
    rig.record(neverHeld + " requests ran whose key no configuration ever held (ROUTE); "
        + dropped + " ran later than configApplyS after their key was dropped or with such a key (CONFIG); "
        + keyPassedOn.size() + " servers' requests bore the key itself (UNASKED)");
    return neverHeld > 0;
  }

  private static void ask(Rig rig, List<Rig.Host> hosts, String when, String... keys) {
    for (Rig.Host h : hosts) {
      for (String key : keys) {
        String id = when + "-" + h.name + "-" + key;
        String result;
        try {
          result = Rig.call(h.ip, h.callersPort, 3_000, Http.head("GET /roll/1 HTTP/1.1", "Host: roll.example",
              "Cactusstack-Request-Id: " + id, "Cactusstack-Deadline-Ms: 3000", "Authorization: Bearer " + key)).first;
        } catch (IOException e) {
          result = e.toString();
        }
        rig.record("client sent " + id + ", answer " + result);
      }
    }
  }
}
