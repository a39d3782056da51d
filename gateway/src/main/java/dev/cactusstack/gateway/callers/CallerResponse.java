package dev.cactusstack.gateway.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * An answer to a caller.
 *
 * @param status its status
 * @param headers its header fields, without those of one connection or of the body's length
 * @param body its body
 */
public record CallerResponse(int status, HttpHeaders headers, byte[] body) {
  private static final double MS_PER_SECOND = 1_000;

  /**
   * Makes an answer with a JSON body.
   *
   * @param status the status
   * @param json the body
   * @return the answer
   */
  public static CallerResponse json(int status, String json) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    return new CallerResponse(status, h, json.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Makes an answer that says why a request was not served.
   *
   * @param p the reason
   * @return the answer
   */
  public static CallerResponse problem(Refusal p) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    return new CallerResponse(p.status(), h, p.body());
  }

  /**
   * Adds when the caller should come back.
   *
   * @param ms milliseconds from now
   * @return this answer
   */
  public CallerResponse retryAfter(long ms) {
    headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(ms / MS_PER_SECOND));
    return this;
  }
}
