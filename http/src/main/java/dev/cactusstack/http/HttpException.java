package dev.cactusstack.http;

import java.util.Objects;

/**
 * Thrown when no complete response was received. Tells whether the request may have been processed.
 */
public final class HttpException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;

  /**
   * Creates an exception.
   *
   * @param mayHaveBeenSent whether any part of the request may have reached the server
   * @param message the cause and the remedy
   */
  public HttpException(boolean mayHaveBeenSent, String message) {
    super(Objects.requireNonNull(message, "message is null"));
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /**
   * Tells whether the server may have processed the request.
   *
   * @return false only when no part of the request was sent
   */
  public boolean mayHaveBeenProcessed() {
    return mayHaveBeenSent;
  }

  /**
   * Finds the HTTP exception that completed a future exceptionally.
   *
   * @param t the throwable reported by a completion stage
   * @return the HTTP exception in the cause chain, or a new one that assumes the request was sent
   */
  public static HttpException fromThrowable(Throwable t) {
    Throwable c = t;
    while (c.getCause() != null && !(c instanceof HttpException)) {
      c = c.getCause();
    }
    return c instanceof HttpException f ? f : new HttpException(true, String.valueOf(c));
  }
}
