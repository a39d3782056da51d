package dev.cactusstack.storage;

import dev.cactusstack.model.ServiceName;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Stores claims on idempotency keys in the platform's table service. A claim is made once and does
 * not expire before its retention ends, so its holder needs no lease. Implementations are
 * thread-safe.
 */
public interface ClaimStore {

  /**
   * Claims a key if it is not claimed yet.
   *
   * @param key the key
   * @param holder identifies this attempt to claim the key
   * @return the outcome, or an {@link dev.cactusstack.http.HttpException} if the outcome is
   *     unknown; the request must not run in that case
   */
  CompletableFuture<ClaimOutcome> claim(ClaimKey key, String holder);

  /**
   * Records that the request was answered.
   *
   * @param key the key
   * @param holder the holder that claimed the key
   * @param status the status code of the response
   */
  void markAnswered(ClaimKey key, String holder, int status);

  /**
   * Releases the key after a request that certainly did not run.
   *
   * @param key the key
   * @param holder the holder that claimed the key
   */
  void release(ClaimKey key, String holder);

  /**
   * Identifies a request with an idempotency key.
   *
   * @param service the service
   * @param keyDigest a digest of the idempotency key, in hexadecimal digits
   * @param requestFingerprint a digest of the method and target, in hexadecimal digits
   */
  record ClaimKey(ServiceName service, String keyDigest, String requestFingerprint) {
    /** Checks the components. */
    public ClaimKey {
      Objects.requireNonNull(service, "service is null");
      Objects.requireNonNull(keyDigest, "digest is null");
      Objects.requireNonNull(requestFingerprint, "fingerprint is null");
    }
  }

  /** The outcome of a claim. */
  sealed interface ClaimOutcome {
    /** The key was claimed; the request may run. */
    record Granted() implements ClaimOutcome {}

    /** The same request is running, or its outcome was lost. */
    record InProgress() implements ClaimOutcome {}

    /**
     * The same request has already been answered.
     *
     * @param status the status code of the response
     */
    record AlreadyAnswered(int status) implements ClaimOutcome {}

    /** The key was already used for a different request. */
    record RequestMismatch() implements ClaimOutcome {}
  }
}
