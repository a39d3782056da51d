package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.net.ResponseMatcher;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/**
 * Determines by its id whether a response belongs to a caller's request. Immutable and thread-safe.
 *
 * @param id the id of the request
 * @param upstreamId identity of the upstream that the request is sent to
 * @param wire reads the header fields of responses
 */
record RequestResponseMatcher(String id, String upstreamId, UpstreamHeaders wire)
    implements ResponseMatcher {
  @Override
  public ResponseOwner ownerOf(int status, HttpHeaders headers, boolean onlyRequest) {
    Optional<String> responseId = wire.requestId(headers);
    if (responseId.isPresent()) {
      return responseId.get().equals(id) ? ResponseOwner.CURRENT : ResponseOwner.ANOTHER;
    }
    if (belongsToProbe(status, headers)) {
      return ResponseOwner.ANOTHER;
    }
    // The status alone does not prove that the request was not executed.
    boolean rejected = wire.reportsNotRun(0, headers);
    return onlyRequest && rejected ? ResponseOwner.CURRENT_BY_ELIMINATION : ResponseOwner.UNKNOWN;
  }

  @Override
  public Optional<String> requestId() {
    return Optional.of(id);
  }

  /** Checks for a late response to a probe. A failure may as well be that to the request. */
  private boolean belongsToProbe(int status, HttpHeaders headers) {
    return HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS
        && wire.isProbeResponse(headers, upstreamId)
        && !wire.isSigned(headers);
  }
}
