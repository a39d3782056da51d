package dev.cactusstack.decisions.limits;

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
   * Adds another statement of the same upstream.
   *
   * @param other the other statement, with its present ages
   * @param nowMs the current time on the same clock
   * @return the one that holds
   */
  public DatedLimit merge(RequestLimit other, long nowMs) {
    return new DatedLimit(at(nowMs).latest(other), nowMs);
  }
}
