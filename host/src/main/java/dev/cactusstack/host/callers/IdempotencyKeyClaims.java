package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.limits.TokenBucket;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.storage.ClaimStore;
import dev.cactusstack.storage.ClaimStore.ClaimKey;
import dev.cactusstack.storage.ClaimStore.ClaimOutcome;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Runs a request with an {@code Idempotency-Key} once, however often and wherever it arrives: the
 * key is claimed in the platform's table before anything is sent.
 *
 * <p>Invariant: a request passes only when this host holds its claim. Thread-safe.
 */
public final class IdempotencyKeyClaims {
  private static final HttpString HEADER = new HttpString("Idempotency-Key");
  private static final int DIGEST_BYTES = 16;

  private final ClaimStore store;
  private final TokenBucket claimRateLimiter;
  private final Ticker ticker;

  /** A claim that this host holds. */
  record HeldClaim(ClaimKey key, String holder) {}

  /** Either a held claim, or the answer that the caller gets instead. */
  record Admission(@Nullable HeldClaim heldClaim, @Nullable Problem problem, Outcome outcome) {}

  /**
   * Creates the filter.
   *
   * @param store keeps the claims
   * @param claimsPerSecond most claims that this host makes in a second
   * @param ticker the clock
   */
  public IdempotencyKeyClaims(ClaimStore store, int claimsPerSecond, Ticker ticker) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.claimRateLimiter = new TokenBucket(claimsPerSecond, claimsPerSecond, ticker.millis());
  }

  /** Whether a request must be claimed: the first host claims it, the owner does not. */
  static boolean requiresClaim(HttpServerExchange x, RequestAttributes facts) {
    return !facts.idempotent()
        && facts.forwardedTo().isEmpty()
        && x.getRequestHeaders().contains(HEADER);
  }

  CompletableFuture<Admission> admit(HttpServerExchange x, RequestAttributes facts) {
    if (!claimRateLimiter.tryAcquire(1, ticker.millis())) {
      return CompletableFuture.completedFuture(
          refused(
              ProblemKind.OVERLOADED,
              "more requests with an Idempotency-Key than the platform bears",
              "repeat the request after a pause",
              Outcome.NOT_RUN));
    }
    String target = x.getRequestMethod() + " " + x.getRequestURI() + "?" + x.getQueryString();
    String keyValue = String.valueOf(x.getRequestHeaders().getFirst(HEADER));
    var heldClaim =
        new HeldClaim(
            new ClaimKey(facts.service(), digest(keyValue), digest(target)),
            UUID.randomUUID().toString());
    return store
        .claim(heldClaim.key(), heldClaim.holder())
        .handle((o, t) -> t == null ? admission(o, heldClaim) : unavailable());
  }

  private static Admission admission(ClaimOutcome o, HeldClaim heldClaim) {
    if (o instanceof ClaimOutcome.Granted) {
      return new Admission(heldClaim, null, Outcome.UNKNOWN);
    }
    if (o instanceof ClaimOutcome.AlreadyAnswered a) {
      return refused(
          ProblemKind.CONFLICT,
          "this request was already answered, with status " + a.status(),
          "look up its effect; it is not run again",
          Outcome.UNKNOWN);
    }
    if (o instanceof ClaimOutcome.RequestMismatch) {
      return refused(
          ProblemKind.INVALID_INPUT,
          "this Idempotency-Key was used for another request",
          "use a new key for each request",
          Outcome.NOT_RUN);
    }
    return refused(
        ProblemKind.CONFLICT,
        "the same request runs now, or its outcome was lost",
        "repeat it later with the same key, or look up its effect; it is not run again",
        Outcome.UNKNOWN);
  }

  /** Nothing was sent yet, so the request certainly did not run. */
  private static Admission unavailable() {
    return refused(
        ProblemKind.PLATFORM_UNAVAILABLE,
        "the platform's table cannot record the Idempotency-Key now",
        "repeat the request later with the same key",
        Outcome.NOT_RUN);
  }

  private static Admission refused(
      ProblemKind kind, String message, String remedy, Outcome outcome) {
    return new Admission(null, new Problem(kind, message, remedy), outcome);
  }

  void recordStatus(HeldClaim heldClaim, int status) {
    store.markAnswered(heldClaim.key(), heldClaim.holder(), status);
  }

  void releaseNotRun(HeldClaim heldClaim) {
    store.release(heldClaim.key(), heldClaim.holder());
  }

  private static String digest(String text) {
    try {
      byte[] d = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(d, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }
}
