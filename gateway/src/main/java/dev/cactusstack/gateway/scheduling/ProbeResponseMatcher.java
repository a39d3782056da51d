package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.gateway.net.CarriedRequests;
import dev.cactusstack.gateway.net.ResponseMatcher;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Determines by the upstream's identity whether a response belongs to a probe: it bears that and no
 * request id. Immutable and thread-safe.
 *
 * @param upstreamId identity of the upstream
 * @param wire reads the header fields of responses
 */
record ProbeResponseMatcher(String upstreamId, UpstreamHeaders wire) implements ResponseMatcher {
  @Override
  public ResponseOwner ownerOf(int status, HttpHeaders headers, CarriedRequests carried) {
    if (wire.isProbeResponse(headers, upstreamId)) {
      return ResponseOwner.CURRENT;
    }
    List<String> ids = wire.respondedIds(headers);
    boolean another = ids.size() == 1 && carried.include(ids.get(0));
    return another ? ResponseOwner.ANOTHER : ResponseOwner.UNKNOWN;
  }
}
