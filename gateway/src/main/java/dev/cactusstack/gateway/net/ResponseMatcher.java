package dev.cactusstack.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Determines by status and header fields which request a response belongs to. Immutable. */
@FunctionalInterface
public interface ResponseMatcher {
  /** Takes every response for that to the current request. */
  ResponseMatcher ANY = (status, headers, onlyRequest) -> ResponseOwner.CURRENT;

  /**
   * Determines the owner of a response that arrives while the request of this matcher is the
   * current one of its connection.
   *
   * @param status the response's status
   * @param headers its header fields
   * @param onlyRequest whether the connection has carried no other request
   * @return the owner
   */
  ResponseOwner ownerOf(int status, HttpHeaders headers, boolean onlyRequest);

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
