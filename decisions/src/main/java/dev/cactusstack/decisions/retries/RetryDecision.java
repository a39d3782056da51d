package dev.cactusstack.decisions.retries;

/** How to proceed after a failed attempt. Immutable and thread-safe. */
public enum RetryDecision {
  /** Send the request again, to another upstream if possible. */
  RETRY,
  /** Tell the caller that the request was not run. */
  REPORT_NOT_RUN,
  /** Tell the caller that the request may have been run. */
  REPORT_UNKNOWN,
  /** Close the caller's connection, so that a partial response is not taken for a complete one. */
  ABORT_RESPONSE
}
