package dev.cactusstack.decisions.retries;

/** What follows a failed attempt. Immutable and thread-safe. */
public enum NextStep {
  /** Send the request again, elsewhere if possible. */
  RETRY,
  /** Tell the caller that the request was not run. */
  TELL_NOT_RUN,
  /** Tell the caller that the request may have been run. */
  TELL_UNKNOWN,
  /** Close the caller's connection, so that a partial answer is not taken for a whole one. */
  ABORT_ANSWER
}
