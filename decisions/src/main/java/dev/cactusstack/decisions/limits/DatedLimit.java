package dev.cactusstack.decisions.limits;

import org.jspecify.annotations.Nullable;

/**
 * What an upstream said of its limit, with the time at which the ages in it held. Immutable and
 * thread-safe.
 *
 * @param statement what it said
 * @param atMs the time of the ages, in milliseconds on a monotonic clock
 */
public record DatedLimit(RequestLimit statement, long atMs) {
  /**
   * Returns the statement with its present ages.
   *
   * @param nowMs the current time on the same clock
   * @return the statement
   */
  public RequestLimit at(long nowMs) {
    return statement.agedBy(Math.max(0, nowMs - atMs));
  }

  /**
   * Adds a statement to what is known of the same upstream.
   *
   * @param known what is known; null if nothing is
   * @param said the statement, with its present ages
   * @param nowMs the current time on the same clock
   * @return the statement that holds
   */
  public static DatedLimit merge(@Nullable DatedLimit known, RequestLimit said, long nowMs) {
    return new DatedLimit(known == null ? said : known.at(nowMs).latest(said), nowMs);
  }
}
