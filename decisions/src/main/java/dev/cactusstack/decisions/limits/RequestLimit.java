package dev.cactusstack.decisions.limits;

import java.util.OptionalDouble;

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

  /** A higher rate is as good as none: no fleet sends as many requests to one upstream. */
  public static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

  /** Longest time that a message between hosts usually takes, in milliseconds. */
  private static final long MAX_TRANSIT_MS = 100;

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
   * Checks whether a rate can be used as it was given.
   *
   * @param requestsPerSecond the rate that an upstream gave; not a number if it is unreadable
   * @return false if it is unreadable, negative or higher than the maximum
   */
  public static boolean isValidRate(double requestsPerSecond) {
    return requestsPerSecond >= 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND;
  }

  /**
   * Converts a rate to one that can be used.
   *
   * @param requestsPerSecond the rate that an upstream gave; not a number if it is unreadable
   * @return the rate, 0 if it is negative, {@link #UNLIMITED} if it is higher than the maximum;
   *     empty if it is unreadable, in which case what was known before stays in force
   */
  public static OptionalDouble toUsableRate(double requestsPerSecond) {
    if (Double.isNaN(requestsPerSecond)) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(
        requestsPerSecond > MAX_REQUESTS_PER_SECOND ? UNLIMITED : Math.max(0, requestsPerSecond));
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
   * Returns the same statement as another host has to take it: its time on the way made it look
   * younger.
   *
   * @return the statement, whose request may have been sent earlier
   */
  public RequestLimit fromAnotherHost() {
    return new RequestLimit(requestsPerSecond, sentAgeMs + MAX_TRANSIT_MS, receivedAgeMs);
  }

  /**
   * Chooses which of two statements of the same upstream holds: the one that was certainly written
   * later, otherwise the stricter one, because a late response may be older than it looks. Of two
   * that say the same, the one whose request was sent later holds.
   *
   * @param other another statement, with ages at the same time as this one's
   * @return this statement or the other
   */
  public RequestLimit latest(RequestLimit other) {
    if (sentAgeMs < other.receivedAgeMs) {
      return this;
    }
    if (other.sentAgeMs < receivedAgeMs) {
      return other;
    }
    if (requestsPerSecond == other.requestsPerSecond) {
      return sentAgeMs <= other.sentAgeMs ? this : other;
    }
    return requestsPerSecond < other.requestsPerSecond ? this : other;
  }
}
