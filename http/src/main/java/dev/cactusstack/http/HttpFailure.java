package dev.cactusstack.http;

import java.util.Objects;

/** No whole answer was received. Says whether the request can have been processed. */
public final class HttpFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates a failure.
   *
   * @param sent whether any part of the request may have reached the server
   * @param message what went wrong and what to do
   */
  public HttpFailure(boolean sent, String message) {
    super(Objects.requireNonNull(message, "message is null"));
    this.sent = sent;
  }

  /**
   * Tells whether the server may have processed the request.
   *
   * @return false only when no part of the request was sent
   */
  public boolean mayBeProcessed() {
    return sent;
  }

  /**
   * Finds the failure that completed a future exceptionally.
   *
   * @param t what a completion stage reported
   * @return the failure itself, or one that assumes the request was sent
   */
  public static HttpFailure of(Throwable t) {
    Throwable c = t;
    while (c.getCause() != null && !(c instanceof HttpFailure)) {
      c = c.getCause();
    }
    return c instanceof HttpFailure f ? f : new HttpFailure(true, String.valueOf(c));
  }
}
