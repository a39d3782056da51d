package dev.cactusstack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Sends requests through the system under test: callers look up entry hosts and cache the response
 * for its time to live.
 *
 * <p>Callers of one group share a lookup. A caller that cannot connect to its host tries the next
 * one. Thread-safe.
 */
final class EntryHostPolicy implements RequestPolicy {
  private static final long MIN_LOOKUP_TTL_NANOS = 100_000_000L;

  private final LoadClient client;
  private final List<String> seedAddresses;
  private final Map<String, CachedLookup> lookups = new ConcurrentHashMap<>();

  /** A cached lookup response. */
  private record CachedLookup(List<String> addresses, long expiresAtNanos) {}

  EntryHostPolicy(LoadClient client, List<String> seedAddresses) {
    this.client = client;
    this.seedAddresses = List.copyOf(seedAddresses);
  }

  @Override
  public void send(Arrival a, Consumer<CallResult> onDone) {
    int group = a.caller() % seedAddresses.size();
    resolveEntries(
        group,
        a.service(),
        0,
        entries -> sendToEntry(entries, 0, LoadClient.Call.get("", a.service(), "/"), onDone));
  }

  /** Sends a request like the template on behalf of the given caller. */
  void send(int caller, String service, LoadClient.Call template, Consumer<CallResult> onDone) {
    resolveEntries(
        caller % seedAddresses.size(),
        service,
        0,
        entries -> sendToEntry(entries, 0, template, onDone));
  }

  private void sendToEntry(
      List<String> entries, int index, LoadClient.Call template, Consumer<CallResult> onDone) {
    if (index >= entries.size()) {
      onDone.accept(CallResult.none(false));
      return;
    }
    var call =
        new LoadClient.Call(
            entries.get(index),
            template.method(),
            template.path(),
            template.headers(),
            template.body());
    client.send(
        call,
        r -> {
          if (r.status() == 0 && !r.sent()) {
            sendToEntry(entries, index + 1, template, onDone);
          } else {
            onDone.accept(r);
          }
        });
  }

  private void resolveEntries(
      int group, String service, int attempt, Consumer<List<String>> consumer) {
    String key = group + "/" + service;
    CachedLookup cached = lookups.get(key);
    if (cached != null && System.nanoTime() < cached.expiresAtNanos) {
      consumer.accept(cached.addresses);
      return;
    }
    String seed = seedAddresses.get((group + attempt) % seedAddresses.size());
    String path = "/.well-known/cactusstack/entries?service=" + service;
    client.send(
        LoadClient.Call.get(seed, service, path),
        r -> {
          if (r.isOk()) {
            CachedLookup answer = parse(r.body());
            lookups.put(key, answer);
            consumer.accept(answer.addresses);
          } else if (attempt + 1 < seedAddresses.size()) {
            resolveEntries(group, service, attempt + 1, consumer);
          } else {
            consumer.accept(cached == null ? seedAddresses : cached.addresses);
          }
        });
  }

  private static CachedLookup parse(byte[] body) {
    JsonNode n = Json.parse(body).orElse(Json.newObject());
    var addresses = new ArrayList<String>();
    n.path("entries").forEach(e -> addresses.add(e.path("address").asText()));
    long ttl = n.path("ttl_ms").asLong() * 1_000_000L;
    return new CachedLookup(addresses, System.nanoTime() + Math.max(MIN_LOOKUP_TTL_NANOS, ttl));
  }
}
