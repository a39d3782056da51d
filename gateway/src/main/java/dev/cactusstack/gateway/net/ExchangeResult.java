package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;

/** How an exchange with a server ended. Implementations are immutable. */
public sealed interface ExchangeResult {
  /**
   * A whole answer.
   *
   * @param status its status
   * @param headers its header fields
   * @param body its whole body
   */
  record Response(int status, HttpHeaders headers, byte[] body) implements ExchangeResult {}

  /**
   * Nothing of the request was sent.
   *
   * @param cause what happened
   */
  record NotSent(String cause) implements ExchangeResult {}

  /**
   * The request may have been read, and no whole answer came.
   *
   * @param cause what happened
   */
  record Incomplete(String cause) implements ExchangeResult {}

  /** The request may have been read, and no whole answer came in time. */
  record TimedOut() implements ExchangeResult {}
}
