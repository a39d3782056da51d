package dev.cactusstack.model.site;

/** What a route's requests allow when an attempt ends without an answer. Thread-safe. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT(true),
  /** May run once. */
  NON_IDEMPOTENT(false),
  /** May run once and has a large body. */
  UPLOAD(false);

  private final boolean idempotent;

  RequestKind(boolean repeatable) {
    this.idempotent = repeatable;
  }

  /**
   * Tells whether a request that may have run can be sent again.
   *
   * @return true when running twice does no harm
   */
  public boolean idempotent() {
    return idempotent;
  }
}
