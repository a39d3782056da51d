package dev.cactusstack.decisions.state;

/** One observation of an upstream. Immutable and thread-safe. */
public sealed interface Observation {

  /**
   * A whole answer that is not a server error.
   *
   * @param latencyMs from sending the request to the start of the answer, in milliseconds
   * @param reportedWarm whether the answer reports the upstream as warm
   */
  record Success(double latencyMs, boolean reportedWarm) implements Observation {}

  /**
   * An answer that reports a server error.
   *
   * @param latencyMs from sending the request to the start of the answer, in milliseconds
   */
  record ServerError(double latencyMs) implements Observation {}

  /** The upstream's own word that it did not run a request for lack of capacity. */
  record Refusal() implements Observation {}

  /** The answer did not arrive in time. */
  record Timeout() implements Observation {}

  /** The connection failed before a whole answer. */
  record ConnectionLost() implements Observation {}

  /** The upstream reports itself as cold. */
  record ReportedCold() implements Observation {}

  /** The upstream or the host list says that it is leaving. */
  record ReportedLeaving() implements Observation {}

  /** What was known of the upstream may no longer hold, as after a time without requests. */
  record StateExpired() implements Observation {}

  /** The host list shows the upstream as live again after it was leaving. */
  record ListedActive() implements Observation {}
}
