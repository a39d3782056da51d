package dev.cactusstack.model;

/**
 * The closed set of failures that the system reports, each with the HTTP status that carries it.
 *
 * <p>Immutable and thread-safe.
 */
public enum ProblemKind {
  /** The caller's or operator's input is not acceptable. */
  INVALID_INPUT("invalid-input", 400),
  /** The operator presented no valid token. */
  NOT_AUTHORISED("not-authorised", 401),
  /** The request names no known service. */
  UNKNOWN_SERVICE("unknown-service", 404),
  /** The request names no known data centre. */
  UNKNOWN_DATA_CENTRE("unknown-data-centre", 404),
  /** The request names no known resource. */
  NOT_FOUND("not-found", 404),
  /** Another edit was committed first. */
  CONFLICT("conflict", 409),
  /** The request body is larger than the settings allow. */
  BODY_TOO_LARGE("body-too-large", 413),
  /** The header section is larger than the settings allow. */
  HEADERS_TOO_LARGE("headers-too-large", 431),
  /** The receiving host does not own the route. */
  MISDIRECTED("misdirected", 421),
  /** The request did not arrive in time. */
  REQUEST_TIMEOUT("request-timeout", 408),
  /** No upstream could accept the request in time. */
  OVERLOADED("overloaded", 503),
  /** No usable upstream exists for the service. */
  NO_UPSTREAM("no-upstream", 503),
  /** The upstream could not be reached. */
  UPSTREAM_UNREACHABLE("upstream-unreachable", 502),
  /** The upstream failed after the request was sent. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The upstream's answer cannot be proved complete. */
  UNFRAMED_ANSWER("unframed-answer", 502),
  /** The upstream did not answer in time. */
  UPSTREAM_TIMEOUT("upstream-timeout", 504),
  /** The host has no configuration yet. */
  NO_CONFIGURATION("no-configuration", 503),
  /** The platform's table service cannot be reached or refused the request. */
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  /** The result of an edit is not known. */
  OUTCOME_UNKNOWN("outcome-unknown", 504),
  /** The caller's own deadline has passed. */
  DEADLINE_PASSED("deadline-passed", 504),
  /** A defect of the system itself. */
  INTERNAL("internal", 500);

  private final String label;
  private final int status;

  ProblemKind(String label, int status) {
    this.label = label;
    this.status = status;
  }

  /**
   * Returns the kind as it appears in answers and logs.
   *
   * @return the label
   */
  public String label() {
    return label;
  }

  /**
   * Returns the HTTP status of an answer that reports this kind.
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
   * @return the kind, or {@link #INTERNAL} when there is none with that label
   */
  public static ProblemKind ofLabel(String label) {
    for (ProblemKind k : values()) {
      if (k.label.equals(label)) {
        return k;
      }
    }
    return INTERNAL;
  }
}
