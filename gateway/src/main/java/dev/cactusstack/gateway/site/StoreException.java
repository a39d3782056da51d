package dev.cactusstack.gateway.site;

import java.util.Objects;

/** A call of the store that brought no result. Immutable. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** What is known of the call. */
  public enum Kind {
    /** Nothing was done. */
    NOT_APPLIED,
    /** It may have been done. */
    UNKNOWN,
    /** The changes asked for are no longer kept; read everything again. */
    HISTORY_UNAVAILABLE
  }

  private final Kind kind;

  /**
   * Creates a failure.
   *
   * @param kind what is known of the call
   * @param message what happened, and what to do
   */
  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = Objects.requireNonNull(kind, "kind is null");
  }

  /**
   * Returns what is known of the call.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }
}
