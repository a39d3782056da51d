package dev.cactusstack.decisions.retries;

/** What follows a failed attempt. Immutable and thread-safe. */
public enum RetryDecision {
  /** Send the request again, elsewhere if possible. */
  RETRY,
  /** Tell the caller that the request was not run. */
  REPORT_NOT_RUN,
  /** Tell the caller that the request may have been run. */
  REPORT_UNKNOWN,
  /** Close the caller's connection, so that a partial answer is not taken for a whole one. */
  ABORT_RESPONSE
}
