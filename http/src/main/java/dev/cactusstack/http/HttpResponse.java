package dev.cactusstack.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

/**
 * A whole answer to a control request. Immutable and thread-safe; the body must not be changed.
 *
 * @param status the status code
 * @param headers first value of each header field, by lower-case name
 * @param body the content
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

  /** Checks the components and copies the headers. */
  public HttpResponse {
    Objects.requireNonNull(body, "body is null");
    headers = Map.copyOf(headers);
  }

  /**
   * Decodes the content as UTF-8.
   *
   * @return the text
   */
  public String bodyAsString() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
