package dev.cactusstack.http;

import java.util.Objects;

/** No whole answer was received. Says whether the request can have been processed. */
public final class HttpException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates a failure.
   *
   * @param sent whether any part of the request may have reached the server
   * @param message what went wrong and what to do
   */
  public HttpException(boolean sent, String message) {
    super(Objects.requireNonNull(message, "message is null"));
    this.sent = sent;
  }

  /**
   * Tells whether the server may have processed the request.
   *
   * @return false only when no part of the request was sent
   */
  public boolean mayHaveBeenProcessed() {
    return sent;
  }

  /**
   * Finds the failure that completed a future exceptionally.
   *
   * @param t what a completion stage reported
   * @return the failure itself, or one that assumes the request was sent
   */
  public static HttpException from(Throwable t) {
    Throwable c = t;
    while (c.getCause() != null && !(c instanceof HttpException)) {
      c = c.getCause();
    }
    return c instanceof HttpException f ? f : new HttpException(true, String.valueOf(c));
  }
}
