package dev.cactusstack.gateway.callers;

import dev.cactusstack.gateway.net.CarriedRequests;
import dev.cactusstack.gateway.net.ResponseMatcher;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
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
  public ResponseOwner ownerOf(int status, HttpHeaders headers, CarriedRequests carried) {
    List<String> ids = wire.respondedIds(headers);
    if (!ids.isEmpty()) {
      return ownerByIds(ids, carried);
    }
    if (belongsToProbe(status, headers)) {
      return ResponseOwner.ANOTHER;
    }
    // The status alone does not prove that the request was not executed.
    boolean rejected = wire.reportsNotRun(0, headers);
    return carried.isOnlyOne() && rejected
        ? ResponseOwner.CURRENT_BY_ELIMINATION
        : ResponseOwner.UNKNOWN;
  }

  /** An id that no request of the connection had may be the spoiled one of the current request. */
  private ResponseOwner ownerByIds(List<String> ids, CarriedRequests carried) {
    if (ids.stream().allMatch(id::equals)) {
      return ResponseOwner.CURRENT;
    }
    boolean another = ids.size() == 1 && carried.include(ids.get(0));
    return another ? ResponseOwner.ANOTHER : ResponseOwner.UNKNOWN;
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
