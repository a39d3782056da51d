package dev.cactusstack.decisions.routing;

/**
 * What a choice needs to know of one upstream. Immutable and thread-safe.
 *
 * @param inFlight requests that this owner has in flight there
 * @param limit most requests that may be in flight there now
 * @param latencyMs smoothed time of an answer, in milliseconds
 * @param oldestMs age of the oldest request in flight, in milliseconds, 0 when idle
 * @param quietMs time since its last answer while nothing is in flight, in milliseconds; 0 when
 *     busy
 * @param failureShare smoothed share of failed answers, from 0 to 1
 */
public record UpstreamView(
    int inFlight,
    int limit,
    double latencyMs,
    double oldestMs,
    double quietMs,
    double failureShare) {

  /**
   * Tells whether another request may be sent.
   *
   * @return true when in flight is below the limit
   */
  public boolean hasRoom() {
    return inFlight < limit;
  }
}
