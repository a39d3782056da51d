package dev.cactusstack.storage;

import dev.cactusstack.model.ServiceName;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Claims on idempotency keys in the platform's table service. A claim is made once and does not
 * lapse before its retention ends, so its holder needs no lease. Implementations are thread-safe.
 */
public interface ClaimStore {

  /**
   * Claims a key, unless it is claimed.
   *
   * @param key the key
   * @param holder identifies this attempt to claim
   * @return what became of it, or an {@link dev.cactusstack.http.HttpException} when that is not
   *     known; the request has not been run then
   */
  CompletableFuture<ClaimOutcome> claim(ClaimKey key, String holder);

  /**
   * Records that the request was answered.
   *
   * @param key the key
   * @param holder who claimed it
   * @param status the answer's status code
   */
  void markAnswered(ClaimKey key, String holder, int status);

  /**
   * Gives the key back after a request that was certainly not run.
   *
   * @param key the key
   * @param holder who claimed it
   */
  void release(ClaimKey key, String holder);

  /**
   * Identifies a request of a caller.
   *
   * @param service the service
   * @param keyDigest a digest of the caller's key, in hexadecimal digits
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

  /** What became of a claim. */
  sealed interface ClaimOutcome {
    /** The claim is held; the request may run. */
    record Granted() implements ClaimOutcome {}

    /** The same request runs now, or its outcome was lost. */
    record InProgress() implements ClaimOutcome {}

    /**
     * The same request was answered.
     *
     * @param status the status code of the answer
     */
    record AlreadyAnswered(int status) implements ClaimOutcome {}

    /** The key was used for another request. */
    record RequestMismatch() implements ClaimOutcome {}
  }
}
