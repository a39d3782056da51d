package dev.cactusstack.decisions.retries;

/** What can happen to an attempt. Immutable and thread-safe. */
public enum AttemptEvent {
  /** No connection could be had. */
  CONNECT_FAILED,
  /** The first byte of the request is about to be written. */
  SEND_STARTED,
  /** The upstream answered that it did not run the request. */
  REFUSED,
  /** Another answer has begun to arrive. */
  RESPONSE_STARTED,
  /** The connection failed. */
  CONNECTION_LOST,
  /** The answer did not begin in time. */
  TIMED_OUT
}
