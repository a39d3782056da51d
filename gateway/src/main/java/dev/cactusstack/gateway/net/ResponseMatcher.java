package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;

/** Checks by its header fields whether a response belongs to a request. */
@FunctionalInterface
public interface ResponseMatcher {
  /** Accepts every response. */
  ResponseMatcher ANY = (headers, newConnection) -> true;

  /**
   * Checks a response.
   *
   * @param headers its header fields
   * @param newConnection whether the request is the first on its connection, so that the response
   *     cannot belong to an earlier one
   * @return false if the response has to be skipped
   */
  boolean matches(HttpHeaders headers, boolean newConnection);
}
