package dev.cactusstack.host.callers;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/** Checks the heads of responses. Stateless. */
final class ResponseChecks {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_FINAL_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseChecks() {}

  /** Returns whether the status is that of a response that no other follows. */
  static boolean isFinalStatus(ClientResponse r) {
    return r.getResponseCode() >= MIN_FINAL_STATUS && r.getResponseCode() <= MAX_FINAL_STATUS;
  }

  /** Returns whether the sender reports that it did not run the request. */
  static boolean reportsNotRun(ClientResponse r) {
    return CactusHeaders.OUTCOME_NOT_RUN.equals(
        r.getResponseHeaders().getFirst(CactusHeaders.OUTCOME));
  }

  static String refusalReason(ClientResponse r) {
    return "it responded with status "
        + r.getResponseCode()
        + " and reported that it did not run the request";
  }

  /**
   * Returns why a response cannot be forwarded, or an empty text. A response whose end cannot be
   * distinguished from a lost connection is not forwarded (RFC 9112, section 8).
   */
  static String framingError(HttpString method, ClientResponse r) {
    HeaderMap h = r.getResponseHeaders();
    int code = r.getResponseCode();
    boolean bodiless = method.equals(Methods.HEAD) || code == NO_CONTENT || code == NOT_MODIFIED;
    boolean hasLength = h.contains(Headers.CONTENT_LENGTH);
    boolean hasCoding = h.contains(Headers.TRANSFER_ENCODING);
    if (hasLength && hasCoding) {
      return "its response has both Content-Length and Transfer-Encoding";
    }
    if (hasLength && h.count(Headers.CONTENT_LENGTH) > 1) {
      return "its response has several Content-Length fields";
    }
    return bodiless || hasLength || hasCoding
        ? ""
        : "its response has neither Content-Length nor Transfer-Encoding";
  }
}
