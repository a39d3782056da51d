package dev.cactusstack.host.callers;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/** Judges the heads of answers. Stateless. */
final class ResponseChecks {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseChecks() {}

  /** Whether the sender says that it did not run the request. */
  static boolean reportsNotRun(ClientResponse r) {
    return CactusHeaders.OUTCOME_NOT_RUN.equals(
        r.getResponseHeaders().getFirst(CactusHeaders.OUTCOME));
  }

  static String refusalReason(ClientResponse r) {
    return "it answered " + r.getResponseCode() + " and said that it did not run the request";
  }

  /**
   * Tells why an answer cannot be passed on, or returns an empty text. An answer whose end cannot
   * be told from a cut is not passed on (RFC 9112, section 8).
   */
  static String framingError(HttpString method, ClientResponse r) {
    HeaderMap h = r.getResponseHeaders();
    int code = r.getResponseCode();
    boolean bodiless = method.equals(Methods.HEAD) || code == NO_CONTENT || code == NOT_MODIFIED;
    boolean hasLength = h.contains(Headers.CONTENT_LENGTH);
    boolean hasCoding = h.contains(Headers.TRANSFER_ENCODING);
    if (hasLength && hasCoding) {
      return "its answer has both a length and a transfer encoding";
    }
    if (hasLength && h.count(Headers.CONTENT_LENGTH) > 1) {
      return "its answer has several lengths";
    }
    return bodiless || hasLength || hasCoding ? "" : "its answer has neither a length nor chunks";
  }
}
