package dev.cactusstack.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.HttpRequest;
import dev.cactusstack.http.HttpResponse;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Claim store on the platform's HTTP interface, in the table {@code claims}.
 *
 * <p>Invariants: {@link ClaimOutcome.Granted} is returned only if the row contains the claim of
 * this holder; a claim that was not granted but may be recorded is released afterwards.
 * Thread-safe.
 */
public final class HttpClaimStore implements ClaimStore {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final long RETENTION_MS = Duration.ofHours(24).toMillis();

  /** With the delays between them, the attempts to update a claim take half a minute. */
  private static final int MAX_UPDATE_ATTEMPTS = 8;

  private static final long FIRST_RETRY_DELAY_MS = 250;
  private static final int MAX_CLAIM_ATTEMPTS = 5;

  private final HttpClient httpClient;
  private final String baseUrl;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param httpClient the client that sends the requests
   * @param address the address of the platform
   * @param timeout the timeout of one request
   */
  public HttpClaimStore(HttpClient httpClient, Address address, Duration timeout) {
    this.httpClient = Objects.requireNonNull(httpClient, "httpClient is null");
    this.baseUrl = "http://" + Objects.requireNonNull(address, "address is null");
    this.timeout = Objects.requireNonNull(timeout, "timeout is null");
  }

  @Override
  public CompletableFuture<ClaimOutcome> claim(ClaimKey key, String holder) {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(holder, "holder is null");
    return claim(key, holder, 1);
  }

  private CompletableFuture<ClaimOutcome> claim(ClaimKey key, String holder, int attempt) {
    return commit(key, 0, claimValue(key, holder, "running", 0))
        .handle(
            (response, t) ->
                t == null && response.status() == OK
                    ? CompletableFuture.<ClaimOutcome>completedFuture(new ClaimOutcome.Granted())
                    : readOutcome(key, holder, t, attempt))
        .thenCompose(f -> f);
  }

  /**
   * After a conflict or a lost response, the row shows which holder has the key. If there is none
   * after a conflict, its holder has released the key in the meantime, and it is claimed again.
   */
  private CompletableFuture<ClaimOutcome> readOutcome(
      ClaimKey key, String holder, @Nullable Throwable commitFailure, int attempt) {
    boolean mayBeRecorded =
        commitFailure != null && HttpException.fromThrowable(commitFailure).mayHaveBeenProcessed();
    boolean mayClaimAgain = commitFailure == null && attempt < MAX_CLAIM_ATTEMPTS;
    return read(key)
        .thenCompose(
            row ->
                mayClaimAgain && row.path("value").isMissingNode()
                    ? claim(key, holder, attempt + 1)
                    : CompletableFuture.completedFuture(outcome(row, key, holder)))
        .whenComplete(
            (o, t) -> {
              if (mayBeRecorded && !(o instanceof ClaimOutcome.Granted)) {
                update(new Update(key, holder, released(), true), 1);
              }
            });
  }

  private static ClaimOutcome outcome(JsonNode row, ClaimKey key, String holder) {
    JsonNode v = row.path("value");
    if (v.isMissingNode()) {
      throw new HttpException(true, "the claim was not granted and no claim on the key was found");
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
    update(new Update(key, holder, claimValue(key, holder, "answered", status), false), 1);
  }

  @Override
  public void release(ClaimKey key, String holder) {
    update(new Update(key, holder, released(), false), 1);
  }

  private static ObjectNode released() {
    return Json.newObject().put("expires_in_ms", 0);
  }

  /**
   * A change of a holder's claim.
   *
   * @param mayBeRecordedLater whether the claim itself may still be in flight, so that a missing
   *     row does not show that nothing is left to change
   */
  private record Update(
      ClaimKey key, String holder, ObjectNode value, boolean mayBeRecordedLater) {}

  /**
   * Updates a claim with a bounded number of attempts: if all fail, the key stays claimed, which is
   * safe.
   */
  private void update(Update u, int attempt) {
    read(u.key)
        .thenCompose(row -> updateRow(u, row))
        .whenComplete(
            (done, t) -> {
              if ((t != null || !done) && attempt < MAX_UPDATE_ATTEMPTS) {
                long delayMs = FIRST_RETRY_DELAY_MS << (attempt - 1);
                CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)
                    .execute(() -> update(u, attempt + 1));
              }
            });
  }

  /** Returns whether the update is complete. */
  private CompletableFuture<Boolean> updateRow(Update u, JsonNode row) {
    if (!row.path("value").path("holder").asText().equals(u.holder)) {
      return CompletableFuture.completedFuture(!u.mayBeRecordedLater);
    }
    return commit(u.key, row.path("version").asLong(), u.value)
        .thenApply(response -> response.status() == OK);
  }

  private static ObjectNode claimValue(ClaimKey key, String holder, String state, int status) {
    return Json.newObject()
        .put("holder", holder)
        .put("fingerprint", key.requestFingerprint())
        .put("state", state)
        .put("status", status)
        .put("expires_in_ms", RETENTION_MS);
  }

  private CompletableFuture<HttpResponse> commit(ClaimKey key, long version, ObjectNode value) {
    ObjectNode t = Json.newObject();
    t.putArray("checks").addObject().put("key", rowKey(key)).put("version", version);
    t.putArray("writes").addObject().put("key", rowKey(key)).set("value", value);
    URI uri = URI.create(baseUrl + "/v1/transactions?table=claims");
    return httpClient
        .send(HttpRequest.json("POST", uri, Json.toBytes(t), timeout))
        .thenApply(HttpClaimStore::requireKnownStatus);
  }

  private static HttpResponse requireKnownStatus(HttpResponse response) {
    if (response.status() != OK && response.status() != CONFLICT) {
      throw new HttpException(true, "the platform responded with status " + response.status());
    }
    return response;
  }

  private CompletableFuture<JsonNode> read(ClaimKey key) {
    URI uri = URI.create(baseUrl + "/v1/row?table=claims&key=" + rowKey(key));
    return httpClient
        .send(HttpRequest.get(uri, timeout))
        .thenApply(r -> Json.parse(requireKnownStatus(r).body()).orElse(Json.newObject()));
  }

  private static String rowKey(ClaimKey key) {
    return key.service() + "/" + key.keyDigest();
  }
}
