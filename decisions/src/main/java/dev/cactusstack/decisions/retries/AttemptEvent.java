package dev.cactusstack.decisions.retries;

/** An event in the course of an attempt. Immutable and thread-safe. */
public enum AttemptEvent {
  /** No connection could be established. */
  CONNECT_FAILED,
  /** The first byte of the request is about to be written. */
  SEND_STARTED,
  /** The upstream responded that it did not run the request. */
  REFUSED,
  /** Any other response has begun to arrive. */
  RESPONSE_STARTED,
  /** The connection failed. */
  CONNECTION_LOST,
  /** No response began to arrive in time. */
  TIMED_OUT
}
