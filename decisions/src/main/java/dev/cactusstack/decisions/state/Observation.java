package dev.cactusstack.decisions.state;

/** One observation of an upstream. Immutable and thread-safe. */
public sealed interface Observation {

  /**
   * A complete response that is not a server error.
   *
   * @param latencyMs time from sending the request to the start of the response, in milliseconds
   * @param reportedWarm whether the response reports the upstream as warm
   */
  record Success(double latencyMs, boolean reportedWarm) implements Observation {}

  /**
   * A response that reports a server error.
   *
   * @param latencyMs time from sending the request to the start of the response, in milliseconds
   */
  record ServerError(double latencyMs) implements Observation {}

  /** The upstream reported that it did not run a request for lack of capacity. */
  record Refusal() implements Observation {}

  /** The response did not arrive in time. */
  record Timeout() implements Observation {}

  /** The connection failed before the response was complete. */
  record ConnectionLost() implements Observation {}

  /** The upstream reports itself as cold. */
  record ReportedCold() implements Observation {}

  /** The upstream or the host list reports that it is leaving. */
  record ReportedLeaving() implements Observation {}

  /** The known state may be outdated, for example after a period without requests. */
  record StateExpired() implements Observation {}

  /** The host list no longer reports the upstream as leaving. */
  record ListedActive() implements Observation {}
}
