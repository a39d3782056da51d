package dev.cactusstack.gateway.callers;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The reasons for which the host itself rejects or fails a request. Thread-safe. */
public enum Refusal {
  /** The header section or the body can't be read. */
  MALFORMED(400, "the request can't be read", "send a well-formed HTTP/1.1 request"),
  /** The request has no id. */
  NO_ID(400, "the request has no id", "send a request id"),
  /** The route needs an API key of a workspace, and the request has none. */
  UNAUTHORIZED(401, "no valid API key", "send an API key of a workspace as bearer token"),
  /** No route matches. */
  NO_ROUTE(404, "no route matches", "check host name and path"),
  /** The body is larger than operators allow. */
  BODY_TOO_LARGE(413, "the body is too large", "send a smaller body"),
  /** The workspace is over its quota. */
  OVER_QUOTA(429, "the workspace is over its quota", "retry after the time in Retry-After"),
  /** The header section is larger than operators allow. */
  HEADERS_TOO_LARGE(431, "the header section is too large", "send fewer header fields"),
  /** No usable response came from an upstream, and the request may have been executed. */
  NO_ANSWER(
      502,
      "no complete response came from an upstream",
      "find out whether the request was executed"),
  /** This host has no configuration yet, or is shutting down. */
  NOT_READY(503, "this host is not ready", "resolve the host addresses again"),
  /** The API key is unknown to this host, whose configuration may be stale. */
  KEY_UNCHECKED(
      503,
      "the API key can't be checked now",
      "retry after the time in Retry-After or at another host"),
  /** No upstream can run the request in time. */
  NO_ROOM(503, "no upstream has a free slot in time", "retry after the time in Retry-After"),
  /** Every upstream tried reported that it did not execute the request. */
  NOT_RUN(503, "upstreams did not execute the request", "retry after the time in Retry-After"),
  /** The deadline has passed, and the request may have been executed. */
  LATE(504, "no response came in time", "find out whether the request was executed");

  private final int status;
  private final String title;
  private final String remedy;

  Refusal(int status, String title, String remedy) {
    this.status = status;
    this.title = title;
    this.remedy = remedy;
  }

  /**
   * Returns the status of the response.
   *
   * @return an HTTP status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the description of the problem.
   *
   * @return plain text without quotes
   */
  public String title() {
    return title;
  }

  /**
   * Returns what the caller can do about it.
   *
   * @return plain text without quotes
   */
  public String remedy() {
    return remedy;
  }

  /**
   * Returns the body of the response.
   *
   * @return a JSON object in UTF-8
   */
  byte[] body() {
    String json =
        "{\"kind\":\"" + label() + "\",\"title\":\"" + title + "\",\"remedy\":\"" + remedy + "\"}";
    return json.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the label for logs, metrics and responses.
   *
   * @return lower case with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
