package dev.cactusstack.http;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * One control request. Immutable and thread-safe; the body must not be changed afterwards.
 *
 * @param method the HTTP method
 * @param uri the absolute target
 * @param headers header fields by name
 * @param body the content, empty for none
 * @param timeout how long to wait for the whole answer
 */
public record HttpRequest(
    String method, URI uri, Map<String, String> headers, byte[] body, Duration timeout) {

  /** Checks the components and copies the headers. */
  public HttpRequest {
    Objects.requireNonNull(method, "method is null");
    Objects.requireNonNull(uri, "uri is null");
    Objects.requireNonNull(body, "body is null");
    Objects.requireNonNull(timeout, "timeout is null");
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a GET request.
   *
   * @param uri the absolute target
   * @param timeout how long to wait for the whole answer
   * @return the request
   */
  public static HttpRequest get(URI uri, Duration timeout) {
    return new HttpRequest("GET", uri, Map.of(), new byte[0], timeout);
  }

  /**
   * Creates a request with a JSON body.
   *
   * @param method the HTTP method
   * @param uri the absolute target
   * @param json the content
   * @param timeout how long to wait for the whole answer
   * @return the request
   */
  public static HttpRequest json(String method, URI uri, byte[] json, Duration timeout) {
    return new HttpRequest(method, uri, Map.of("Content-Type", "application/json"), json, timeout);
  }

  /**
   * Adds a header field.
   *
   * @param name the field's name
   * @param value the field's value
   * @return the changed request
   */
  public HttpRequest withHeader(String name, String value) {
    var h = new TreeMap<>(headers);
    h.put(name, value);
    return new HttpRequest(method, uri, h, body, timeout);
  }
}
