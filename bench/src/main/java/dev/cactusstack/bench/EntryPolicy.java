package dev.cactusstack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The system under test: callers look up entry hosts, keep the answer for its time, and send there.
 *
 * <p>Callers of one group share a look-up. A caller whose host cannot be connected to uses the next
 * one. Thread-safe.
 */
final class EntryPolicy implements Policy {
  private static final long RETRY_LOOKUP_NANOS = 100_000_000L;

  private final LoadClient client;
  private final List<String> seeds;
  private final Map<String, Kept> kept = new ConcurrentHashMap<>();

  /** The answer to a look-up. */
  private record Kept(List<String> addresses, long untilNanos) {}

  EntryPolicy(LoadClient client, List<String> seeds) {
    this.client = client;
    this.seeds = List.copyOf(seeds);
  }

  @Override
  public void send(Arrival a, Consumer<CallResult> done) {
    int group = a.caller() % seeds.size();
    withEntries(
        group,
        a.service(),
        0,
        entries -> tryAt(entries, 0, LoadClient.Call.get("", a.service(), "/"), done));
  }

  /** Sends a request of a given form, as caller {@code caller}. */
  void send(int caller, String service, LoadClient.Call form, Consumer<CallResult> done) {
    withEntries(caller % seeds.size(), service, 0, entries -> tryAt(entries, 0, form, done));
  }

  private void tryAt(
      List<String> entries, int at, LoadClient.Call form, Consumer<CallResult> done) {
    if (at >= entries.size()) {
      done.accept(CallResult.none(false));
      return;
    }
    var call =
        new LoadClient.Call(
            entries.get(at), form.method(), form.path(), form.headers(), form.body());
    client.send(
        call,
        r -> {
          if (r.status() == 0 && !r.sent()) {
            tryAt(entries, at + 1, form, done);
          } else {
            done.accept(r);
          }
        });
  }

  private void withEntries(int group, String service, int tries, Consumer<List<String>> use) {
    String key = group + "/" + service;
    Kept k = kept.get(key);
    if (k != null && System.nanoTime() < k.untilNanos) {
      use.accept(k.addresses);
      return;
    }
    String seed = seeds.get((group + tries) % seeds.size());
    String path = "/.well-known/cactusstack/entries?service=" + service;
    client.send(
        LoadClient.Call.get(seed, service, path),
        r -> {
          if (r.isOk()) {
            Kept answer = parse(r.body());
            kept.put(key, answer);
            use.accept(answer.addresses);
          } else if (tries + 1 < seeds.size()) {
            withEntries(group, service, tries + 1, use);
          } else {
            use.accept(k == null ? seeds : k.addresses);
          }
        });
  }

  private static Kept parse(byte[] body) {
    JsonNode n = Json.parse(body).orElse(Json.newObject());
    var addresses = new ArrayList<String>();
    n.path("entries").forEach(e -> addresses.add(e.path("address").asText()));
    long ttl = n.path("ttl_ms").asLong() * 1_000_000L;
    return new Kept(addresses, System.nanoTime() + Math.max(RETRY_LOOKUP_NANOS, ttl));
  }
}
