package dev.cactusstack.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.HttpRequest;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.HttpResponse;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Claims over the platform's HTTP interface, in its table {@code claims}.
 *
 * <p>Invariant: {@link ClaimOutcome.Granted} is returned only when the row holds this holder's
 * claim. Thread-safe.
 */
public final class HttpClaimStore implements ClaimStore {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final long RETENTION_MS = Duration.ofHours(24).toMillis();

  private final HttpClient caller;
  private final String base;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller sends the requests
   * @param address where the platform serves
   * @param timeout how long one request may take
   */
  public HttpClaimStore(HttpClient caller, Address address, Duration timeout) {
    this.caller = Objects.requireNonNull(caller, "caller is null");
    this.base = "http://" + Objects.requireNonNull(address, "address is null");
    this.timeout = Objects.requireNonNull(timeout, "timeout is null");
  }

  @Override
  public CompletableFuture<ClaimOutcome> claim(ClaimKey key, String holder) {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(holder, "holder is null");
    return commit(key, 0, value(key, holder, "running", 0))
        .handle((reply, t) -> t == null ? reply.status() : 0)
        .thenCompose(
            status ->
                status == OK
                    ? CompletableFuture.completedFuture(new ClaimOutcome.Granted())
                    // After a conflict or a lost answer the row tells who holds the key.
                    : read(key).thenApply(row -> outcome(row, key, holder)));
  }

  private static ClaimOutcome outcome(JsonNode row, ClaimKey key, String holder) {
    JsonNode v = row.path("value");
    if (v.isMissingNode()) {
      throw new HttpException(true, "the claim was neither granted nor found");
    }
    if (v.path("holder").asText().equals(holder)) {
      return new ClaimOutcome.Granted();
    }
    if (!v.path("fingerprint").asText().equals(key.requestFingerprint())) {
      return new ClaimOutcome.RequestMismatch();
    }
    return v.path("state").asText().equals("answered")
        ? new ClaimOutcome.AlreadyAnswered(v.path("status").asInt())
        : new ClaimOutcome.InProgress();
  }

  @Override
  public void markAnswered(ClaimKey key, String holder, int status) {
    change(key, holder, value(key, holder, "answered", status));
  }

  @Override
  public void release(ClaimKey key, String holder) {
    change(key, holder, Json.newObject().put("expires_in_ms", 0));
  }

  /** Best effort: a change that is lost leaves the key claimed, which is safe. */
  private void change(ClaimKey key, String holder, ObjectNode next) {
    read(key)
        .thenAccept(
            row -> {
              if (row.path("value").path("holder").asText().equals(holder)) {
                commit(key, row.path("version").asLong(), next);
              }
            });
  }

  private static ObjectNode value(ClaimKey key, String holder, String state, int status) {
    return Json.newObject()
        .put("holder", holder)
        .put("fingerprint", key.requestFingerprint())
        .put("state", state)
        .put("status", status)
        .put("expires_in_ms", RETENTION_MS);
  }

  private CompletableFuture<HttpResponse> commit(ClaimKey key, long version, ObjectNode value) {
    ObjectNode t = Json.newObject();
    t.putArray("checks").addObject().put("key", row(key)).put("version", version);
    t.putArray("writes").addObject().put("key", row(key)).set("value", value);
    URI uri = URI.create(base + "/v1/transactions?table=claims");
    return caller
        .send(HttpRequest.json("POST", uri, Json.toBytes(t), timeout))
        .thenApply(HttpClaimStore::known);
  }

  private static HttpResponse known(HttpResponse reply) {
    if (reply.status() != OK && reply.status() != CONFLICT) {
      throw new HttpException(true, "the platform answered status " + reply.status());
    }
    return reply;
  }

  private CompletableFuture<JsonNode> read(ClaimKey key) {
    URI uri = URI.create(base + "/v1/row?table=claims&key=" + row(key));
    return caller
        .send(HttpRequest.get(uri, timeout))
        .thenApply(r -> Json.parse(known(r).body()).orElse(Json.newObject()));
  }

  private static String row(ClaimKey key) {
    return key.service() + "/" + key.keyDigest();
  }
}
