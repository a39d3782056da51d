package dev.cactusstack.model;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The outcome of a computation that can fail: a value or a {@link Problem}.
 *
 * <p>Immutable and thread-safe when the value is.
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
   * Reduces both cases to one value.
   *
   * @param onFailure applied to the problem
   * @param onSuccess applied to the value
   * @param <R> the type of the reduction
   * @return the reduction
   */
  <R> R fold(
      Function<? super Problem, ? extends R> onFailure, Function<? super T, ? extends R> onSuccess);

  /**
   * Transforms the value of a success.
   *
   * @param f applied to the value
   * @param <R> the new type
   * @return the transformed success, or this failure
   */
  default <R> Result<R> map(Function<? super T, ? extends R> f) {
    Objects.requireNonNull(f, "f is null");
    return fold(Result::failure, v -> success(f.apply(v)));
  }

  /**
   * Continues with another computation that can fail.
   *
   * @param f applied to the value
   * @param <R> the new type
   * @return the result of {@code f}, or this failure
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> f) {
    Objects.requireNonNull(f, "f is null");
    return fold(Result::failure, f);
  }

  /**
   * Drops the problem of a failure.
   *
   * @return the value of a success, nothing for a failure
   */
  default Optional<T> toOptional() {
    return fold(p -> Optional.empty(), Optional::of);
  }

  /**
   * A value.
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
   * A problem in place of a value.
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
