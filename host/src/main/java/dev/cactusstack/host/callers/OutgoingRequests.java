package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;

/** Builds the heads of requests to upstreams and to other hosts. Stateless. */
final class OutgoingRequests {
  private static final String VIA = "1.1 cactusstack";

  /**
   * What changes from attempt to attempt.
   *
   * @param isRetry whether this is not the first attempt, here or further up
   * @param remainingMs how long the caller still waits
   */
  record AttemptInfo(boolean isRetry, long remainingMs) {}

  private OutgoingRequests() {}

  static ClientRequest toUpstream(HttpServerExchange x, RequestAttributes facts, AttemptInfo p) {
    ClientRequest r = newRequest(x, facts, p);
    if (facts.forwardedTo().isEmpty()) {
      addForwardedFor(x, r.getRequestHeaders());
    }
    return r;
  }

  static ClientRequest toOwner(
      HttpServerExchange x,
      RequestAttributes facts,
      AttemptInfo p,
      DataCentre dataCentre,
      String token,
      boolean mayRefuse) {
    ClientRequest r = newRequest(x, facts, p);
    addForwardedFor(x, r.getRequestHeaders());
    r.getRequestHeaders().put(CactusHeaders.FORWARDED, token);
    r.getRequestHeaders().put(CactusHeaders.DATA_CENTRE, dataCentre.value());
    if (mayRefuse) {
      r.getRequestHeaders().put(CactusHeaders.MAY_REFUSE, "1");
    }
    return r;
  }

  private static ClientRequest newRequest(HttpServerExchange x, RequestAttributes facts, AttemptInfo p) {
    var r = new ClientRequest();
    r.setMethod(x.getRequestMethod());
    r.setProtocol(Protocols.HTTP_1_1);
    r.setPath(target(x));
    HeaderMap to = r.getRequestHeaders();
    CactusHeaders.copyEndToEnd(x.getRequestHeaders(), to);
    // The host answers an expectation itself, when it begins to read the body.
    to.remove(Headers.EXPECT);
    boolean chunked = !facts.bodiless() && !to.contains(Headers.CONTENT_LENGTH);
    if (chunked) {
      to.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }
    to.add(Headers.VIA, VIA);
    if (p.isRetry()) {
      to.put(CactusHeaders.RETRY, "1");
    }
    if (facts.deadlineNanos() != RequestAttributes.NO_DEADLINE) {
      to.put(CactusHeaders.DEADLINE, Long.toString(p.remainingMs()));
    }
    return r;
  }

  private static String target(HttpServerExchange x) {
    String query = x.getQueryString();
    String uri = x.isHostIncludedInRequestURI() ? x.getRequestPath() : x.getRequestURI();
    return query.isEmpty() ? uri : uri + "?" + query;
  }

  private static void addForwardedFor(HttpServerExchange x, HeaderMap to) {
    String ip = x.getSourceAddress().getAddress().getHostAddress();
    String before = to.getFirst(CactusHeaders.FORWARDED_FOR);
    to.put(CactusHeaders.FORWARDED_FOR, before == null ? ip : before + ", " + ip);
  }
}
