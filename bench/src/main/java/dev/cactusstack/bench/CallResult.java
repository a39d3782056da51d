package dev.cactusstack.bench;

import java.util.Map;

/**
 * The result of a call as the caller observed it. Immutable and thread-safe.
 *
 * @param status the status code, or 0 when no complete response was received
 * @param headers the response headers by lower-case name
 * @param body the response body
 * @param sent whether any part of the request may have been sent
 */
record CallResult(int status, Map<String, String> headers, byte[] body, boolean sent) {
  private static final int OK = 200;

  static CallResult none(boolean sent) {
    return new CallResult(0, Map.of(), new byte[0], sent);
  }

  boolean isOk() {
    return status == OK;
  }

  double upstreamMs() {
    String micros = headers.get("x-standin-micros");
    return micros == null ? 0 : Long.parseLong(micros) / 1e3;
  }
}
