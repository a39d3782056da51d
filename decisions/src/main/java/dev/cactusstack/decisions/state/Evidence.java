package dev.cactusstack.decisions.state;

/** One observation of an upstream. Immutable and thread-safe. */
public sealed interface Evidence {

  /**
   * A whole answer that is not a server error.
   *
   * @param latencyMs from sending the request to the start of the answer, in milliseconds
   * @param saysWarm whether the answer reports the upstream as warm
   */
  record Success(double latencyMs, boolean saysWarm) implements Evidence {}

  /**
   * An answer that reports a server error.
   *
   * @param latencyMs from sending the request to the start of the answer, in milliseconds
   */
  record ServerError(double latencyMs) implements Evidence {}

  /** The upstream's own word that it did not run a request for lack of capacity. */
  record Refusal() implements Evidence {}

  /** The answer did not arrive in time. */
  record Timeout() implements Evidence {}

  /** The connection failed before a whole answer. */
  record ConnectionLost() implements Evidence {}

  /** The upstream reports itself as cold. */
  record SaysCold() implements Evidence {}

  /** The upstream or the host list says that it is leaving. */
  record SaysLeaving() implements Evidence {}

  /** What was known of the upstream may no longer hold, as after a time without requests. */
  record KnowledgeExpired() implements Evidence {}

  /** The host list shows the upstream as live again after it was leaving. */
  record ListedLive() implements Evidence {}
}
