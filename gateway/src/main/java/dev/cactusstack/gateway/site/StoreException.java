package dev.cactusstack.gateway.site;

import java.util.Objects;

/** Thrown when a call of the store fails. Immutable. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** What is known about the effect of the failed call. */
  public enum Kind {
    /** The call had no effect. */
    NOT_APPLIED,
    /** The call may have taken effect. */
    UNKNOWN,
    /** The store no longer keeps the requested changes; everything must be read again. */
    HISTORY_UNAVAILABLE
  }

  private final Kind kind;

  /**
   * Creates an exception.
   *
   * @param kind what is known about the effect of the call
   * @param message the cause and the remedy
   */
  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = Objects.requireNonNull(kind, "kind is null");
  }

  /**
   * Finds the store's failure in what a future reports. A future that depends on a call of the
   * store wraps the failure, so that its type must not be checked without this method.
   *
   * @param failure the failure that a future reports
   * @return the store's failure; of the kind {@link Kind#UNKNOWN} if there is none in the causes
   */
  public static StoreException of(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof StoreException found) {
        return found;
      }
    }
    return new StoreException(Kind.UNKNOWN, String.valueOf(failure));
  }

  /**
   * Returns what is known about the effect of the call.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }
}
