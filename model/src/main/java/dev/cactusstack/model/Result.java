package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The result of a computation that may fail: either a value or a {@link Problem}.
 *
 * <p>Immutable and thread-safe if the value is.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

  /**
   * Creates a success.
   *
   * @param value the value
   * @param <T> its type
   * @return the success
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Creates a failure.
   *
   * @param problem why there is no value
   * @param <T> the type the value would have
   * @return the failure
   */
  static <T> Result<T> failure(Problem problem) {
    return new Failure<>(problem);
  }

  /**
   * Applies one of two functions, depending on whether this is a failure or a success.
   *
   * @param onFailure maps the problem of a failure
   * @param onSuccess maps the value of a success
   * @param <R> the type of the mapped value
   * @return the mapped value
   */
  <R> R fold(
      Function<? super Problem, ? extends R> onFailure, Function<? super T, ? extends R> onSuccess);

  /**
   * Maps the value of a success.
   *
   * @param mapper maps the value
   * @param <R> the type of the mapped value
   * @return the mapped success, or a failure with the same problem
   */
  default <R> Result<R> map(Function<? super T, ? extends R> mapper) {
    Objects.requireNonNull(mapper, "mapper is null");
    return fold(Result::failure, v -> success(mapper.apply(v)));
  }

  /**
   * Maps the value of a success to another result.
   *
   * @param mapper maps the value to a result
   * @param <R> the type of the new value
   * @return the result of {@code mapper}, or a failure with the same problem
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> mapper) {
    Objects.requireNonNull(mapper, "mapper is null");
    return fold(Result::failure, mapper);
  }

  /**
   * Converts to an optional, discarding the problem of a failure.
   *
   * @return the value of a success, or empty for a failure
   */
  default Optional<T> toOptional() {
    return fold(p -> Optional.empty(), Optional::of);
  }

  /**
   * A success.
   *
   * @param value the value
   * @param <T> its type
   */
  record Success<T>(T value) implements Result<T> {
    /** Checks the value. */
    public Success {
      Objects.requireNonNull(value, "value is null");
    }

    @Override
    public <R> R fold(
        Function<? super Problem, ? extends R> onFailure,
        Function<? super T, ? extends R> onSuccess) {
      return onSuccess.apply(value);
    }
  }

  /**
   * A failure.
   *
   * @param problem why there is no value
   * @param <T> the type the value would have
   */
  record Failure<T>(Problem problem) implements Result<T> {
    /** Checks the problem. */
    public Failure {
      Objects.requireNonNull(problem, "problem is null");
    }

    @Override
    public <R> R fold(
        Function<? super Problem, ? extends R> onFailure,
        Function<? super T, ? extends R> onSuccess) {
      return onFailure.apply(problem);
    }
  }
}
