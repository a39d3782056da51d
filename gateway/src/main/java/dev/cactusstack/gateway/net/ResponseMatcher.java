package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Determines by status and header fields which request a response belongs to. Immutable. */
@FunctionalInterface
public interface ResponseMatcher {
  /** Takes every response for that to the current request. */
  ResponseMatcher ANY = (status, headers, carried) -> ResponseOwner.CURRENT;

  /**
   * Determines the owner of a response that arrives while the request of this matcher is the
   * current one of its connection.
   *
   * @param status the response's status
   * @param headers its header fields
   * @param carried the requests that the connection has carried, the current one among them
   * @return the owner
   */
  ResponseOwner ownerOf(int status, HttpHeaders headers, CarriedRequests carried);

  /**
   * Returns the id by which responses to the request are recognised. A connection that has carried
   * a request with the same id is not reused for it: a late response to that one would be taken for
   * its own.
   *
   * @return the id, empty if there is none that differs from request to request
   */
  default Optional<String> requestId() {
    return Optional.empty();
  }
}
