package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;

/** How an exchange with a server ended. Implementations are immutable. */
public sealed interface Reply {
  /**
   * A whole answer.
   *
   * @param status its status
   * @param headers its header fields
   * @param body its whole body
   */
  record Answer(int status, HttpHeaders headers, byte[] body) implements Reply {}

  /**
   * Nothing of the request was sent.
   *
   * @param cause what happened
   */
  record NotSent(String cause) implements Reply {}

  /**
   * The request may have been read, and no whole answer came.
   *
   * @param cause what happened
   */
  record Broken(String cause) implements Reply {}

  /** The request may have been read, and no whole answer came in time. */
  record Late() implements Reply {}
}
