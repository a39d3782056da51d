package dev.cactusstack.decisions.rollouts;

import java.util.Objects;

/**
 * The end of an attempt that says something about the version of its upstream. Immutable and
 * thread-safe.
 *
 * @param route the request's route
 * @param kind how the attempt ended
 * @param durationMs time from sending the request to the end of the attempt, in milliseconds
 * @param slowdown the slowdown that the upstream reported; 1 if none
 * @param cold whether the upstream was cold, so that a slow response says nothing
 */
public record Answer(String route, Kind kind, long durationMs, double slowdown, boolean cold) {
  /** How an attempt ended. */
  public enum Kind {
    /** A complete response that is not a server error. */
    RESPONSE,
    /** A server error, or a connection that was lost. */
    FAILURE,
    /** No response by the caller's deadline, which may have been close. */
    TIMEOUT,
    /** The attempt was given up for another reason; its response would have taken longer. */
    ABANDONED
  }

  /** Checks the components. */
  public Answer {
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(kind, "kind is null");
  }

  /** Returns the duration that an undisturbed upstream would have had, in milliseconds. */
  double undisturbedMs() {
    return durationMs / Math.max(1, slowdown);
  }
}
