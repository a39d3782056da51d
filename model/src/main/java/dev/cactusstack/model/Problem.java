package dev.cactusstack.model;

import java.util.Objects;

/**
 * A failure with a human-readable message and a remedy.
 *
 * <p>Invariant: neither text is blank. Immutable and thread-safe.
 *
 * @param kind the machine-readable kind
 * @param message what went wrong
 * @param remedy what the reader can do about it
 */
public record Problem(ProblemKind kind, String message, String remedy) {

  /** Checks the components. */
  public Problem {
    Objects.requireNonNull(kind, "kind is null");
    Objects.requireNonNull(message, "message is null");
    Objects.requireNonNull(remedy, "remedy is null");
  }

  /**
   * Creates an invalid-input problem.
   *
   * @param message what is invalid
   * @param remedy what would be accepted
   * @return the problem
   */
  public static Problem invalid(String message, String remedy) {
    return new Problem(ProblemKind.INVALID_INPUT, message, remedy);
  }

  @Override
  public String toString() {
    return kind.label() + ": " + message + "; remedy: " + remedy;
  }
}
