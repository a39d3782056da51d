package dev.cactusstack.model.site;

/** The kind of a route's requests, which decides whether they can be retried. Thread-safe. */
public enum RequestKind {
  /** Can be executed any number of times. */
  IDEMPOTENT(true),
  /** Must not be executed more than once. */
  NON_IDEMPOTENT(false),
  /** Has a large body and must not be executed more than once. */
  UPLOAD(false);

  private final boolean idempotent;

  RequestKind(boolean repeatable) {
    this.idempotent = repeatable;
  }

  /**
   * Checks whether a request that may have been executed can be sent again.
   *
   * @return true if executing the request twice does no harm
   */
  public boolean idempotent() {
    return idempotent;
  }
}
