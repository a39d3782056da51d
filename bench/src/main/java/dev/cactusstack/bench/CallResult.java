package dev.cactusstack.bench;

import java.util.Map;

/**
 * What a caller saw of one call. Immutable and thread-safe.
 *
 * @param status the status code; 0 when no whole answer arrived
 * @param headers the answer's header fields by lower-case name
 * @param body the answer's content
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
