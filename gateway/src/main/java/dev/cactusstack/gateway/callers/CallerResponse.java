package dev.cactusstack.gateway.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A response to a caller.
 *
 * @param status its status
 * @param headers its header fields, without hop-by-hop fields and Content-Length
 * @param body its body
 */
public record CallerResponse(int status, HttpHeaders headers, byte[] body) {
  private static final double MS_PER_SECOND = 1_000;

  /**
   * Creates a response with a JSON body.
   *
   * @param status the status
   * @param json the body
   * @return the response
   */
  public static CallerResponse json(int status, String json) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return new CallerResponse(status, h, json.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Creates a problem details response for a request that was not served.
   *
   * @param p the reason
   * @return the response
   */
  public static CallerResponse problem(Refusal p) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    if (p == Refusal.UNAUTHORIZED) {
      h.set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return new CallerResponse(p.status(), h, p.body());
  }

  /**
   * Sets the delay after which the caller should retry.
   *
   * @param ms milliseconds from now
   * @return this response
   */
  public CallerResponse retryAfter(long ms) {
    headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(ms / MS_PER_SECOND));
    return this;
  }
}
