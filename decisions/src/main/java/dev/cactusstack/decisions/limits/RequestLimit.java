package dev.cactusstack.decisions.limits;

/**
 * What an upstream said in one response about the rate of requests that it takes from all hosts
 * together, or that it said nothing, which withdraws an earlier limit.
 *
 * <p>The response was written at some time between sending the request and receiving the response.
 * Both times are kept as ages, because hosts have no common clock. Immutable and thread-safe.
 *
 * @param requestsPerSecond the limit; {@link #UNLIMITED} if the response names none
 * @param sentAgeMs time since the request was sent, in milliseconds
 * @param receivedAgeMs time since the response was received, in milliseconds
 */
public record RequestLimit(double requestsPerSecond, long sentAgeMs, long receivedAgeMs) {
  /** The rate of an upstream that names no limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** Checks the components. */
  public RequestLimit {
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException("requestsPerSecond is negative or not a number");
    }
    if (receivedAgeMs < 0 || sentAgeMs < receivedAgeMs) {
      throw new IllegalArgumentException("a response is received after its request was sent");
    }
  }

  /**
   * Checks whether the upstream named a limit.
   *
   * @return false if it takes any number of requests
   */
  public boolean isLimited() {
    return requestsPerSecond != UNLIMITED;
  }

  /**
   * Returns the same statement at a later time.
   *
   * @param elapsedMs time that has passed, in milliseconds
   * @return the statement with its ages increased
   */
  public RequestLimit agedBy(long elapsedMs) {
    return new RequestLimit(requestsPerSecond, sentAgeMs + elapsedMs, receivedAgeMs + elapsedMs);
  }

  /**
   * Chooses which of two statements of the same upstream holds: the one that was certainly written
   * later, otherwise the stricter one, because a late response may be older than it looks.
   *
   * @param other another statement, with ages at the same time as this one's
   * @return this statement or the other
   */
  public RequestLimit latest(RequestLimit other) {
    if (sentAgeMs <= other.receivedAgeMs) {
      return this;
    }
    if (other.sentAgeMs <= receivedAgeMs) {
      return other;
    }
    return requestsPerSecond <= other.requestsPerSecond ? this : other;
  }
}
