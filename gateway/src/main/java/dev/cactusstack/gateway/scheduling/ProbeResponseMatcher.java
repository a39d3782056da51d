package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.gateway.net.ResponseMatcher;
import dev.cactusstack.gateway.net.ResponseOwner;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Determines by the upstream's identity whether a response belongs to a probe: it bears that and no
 * request id. Immutable and thread-safe.
 *
 * @param upstreamId identity of the upstream
 * @param wire reads the header fields of responses
 */
record ProbeResponseMatcher(String upstreamId, UpstreamHeaders wire) implements ResponseMatcher {
  @Override
  public ResponseOwner ownerOf(int status, HttpHeaders headers, boolean onlyRequest) {
    if (wire.isProbeResponse(headers, upstreamId)) {
      return ResponseOwner.CURRENT;
    }
    return wire.requestId(headers).isPresent() ? ResponseOwner.ANOTHER : ResponseOwner.UNKNOWN;
  }
}
