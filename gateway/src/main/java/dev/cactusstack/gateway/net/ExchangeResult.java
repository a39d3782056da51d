package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;

/** The result of an exchange with a server. Implementations are immutable. */
public sealed interface ExchangeResult {
  /**
   * A complete response.
   *
   * @param status its status
   * @param headers its header fields
   * @param body its complete body
   */
  record Response(int status, HttpHeaders headers, byte[] body) implements ExchangeResult {}

  /**
   * Nothing of the request was sent.
   *
   * @param cause what happened
   */
  record NotSent(String cause) implements ExchangeResult {}

  /**
   * The request may have been received, but no complete response came.
   *
   * @param cause what happened
   */
  record Incomplete(String cause) implements ExchangeResult {}

  /**
   * A response came that may or may not be that to the request. The request may have run.
   *
   * @param status the status of that response
   */
  record Unattributed(int status) implements ExchangeResult {}

  /** The request may have been received, but no complete response came in time. */
  record TimedOut() implements ExchangeResult {}
}
