package dev.cactusstack.model;

/**
 * The kinds of failure that the system reports, each with its HTTP status.
 *
 * <p>Immutable and thread-safe.
 */
public enum ProblemKind {
  /** The input of a caller or operator is invalid. */
  INVALID_INPUT("invalid-input", 400),
  /** The operator presented no valid token. */
  NOT_AUTHORISED("not-authorised", 401),
  /** The requested service does not exist. */
  UNKNOWN_SERVICE("unknown-service", 404),
  /** The requested data centre does not exist. */
  UNKNOWN_DATA_CENTRE("unknown-data-centre", 404),
  /** The requested resource does not exist. */
  NOT_FOUND("not-found", 404),
  /** Another edit was committed first. */
  CONFLICT("conflict", 409),
  /** The request body exceeds the configured size limit. */
  BODY_TOO_LARGE("body-too-large", 413),
  /** The header section exceeds the configured size limit. */
  HEADERS_TOO_LARGE("headers-too-large", 431),
  /** The receiving host does not own the route. */
  MISDIRECTED("misdirected", 421),
  /** The request was not received completely in time. */
  REQUEST_TIMEOUT("request-timeout", 408),
  /** No upstream could accept the request in time. */
  OVERLOADED("overloaded", 503),
  /** No usable upstream exists for the service. */
  NO_UPSTREAM("no-upstream", 503),
  /** The upstream could not be reached. */
  UPSTREAM_UNREACHABLE("upstream-unreachable", 502),
  /** The upstream failed after the request was sent. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The upstream's response has no framing that shows whether it is complete. */
  UNFRAMED_ANSWER("unframed-answer", 502),
  /** The upstream did not respond in time. */
  UPSTREAM_TIMEOUT("upstream-timeout", 504),
  /** The host has no configuration yet. */
  NO_CONFIGURATION("no-configuration", 503),
  /** The platform's table service is unreachable or refused the request. */
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  /** It is unknown whether an edit was committed. */
  OUTCOME_UNKNOWN("outcome-unknown", 504),
  /** The deadline set by the caller has passed. */
  DEADLINE_PASSED("deadline-passed", 504),
  /** An internal error. */
  INTERNAL("internal", 500);

  private final String label;
  private final int status;

  ProblemKind(String label, int status) {
    this.label = label;
    this.status = status;
  }

  /**
   * Returns the name of this kind in responses and logs.
   *
   * @return the label
   */
  public String label() {
    return label;
  }

  /**
   * Returns the HTTP status of a response that reports this kind.
   *
   * @return the status code
   */
  public int status() {
    return status;
  }

  /**
   * Finds a kind by its label.
   *
   * @param label the label
   * @return the kind, or {@link #INTERNAL} if there is none with that label
   */
  public static ProblemKind ofLabel(String label) {
    for (ProblemKind kind : values()) {
      if (kind.label.equals(label)) {
        return kind;
      }
    }
    return INTERNAL;
  }
}
