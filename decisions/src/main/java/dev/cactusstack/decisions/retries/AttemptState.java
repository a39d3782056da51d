package dev.cactusstack.decisions.retries;

import java.util.Objects;

/**
 * How far one attempt to run a request has come.
 *
 * <p>Invariant: only {@link #NOT_SENT} and {@link #REFUSED} prove that the request did not run.
 * Immutable and thread-safe.
 */
public enum AttemptState {
  /** No byte of the request can have reached an upstream. */
  NOT_SENT {
    @Override
    public AttemptState after(AttemptEvent e) {
      return e == AttemptEvent.SEND_STARTED ? POSSIBLY_RUN : this;
    }
  },
  /** The upstream may have run the request. */
  POSSIBLY_RUN {
    @Override
    public AttemptState after(AttemptEvent e) {
      return switch (e) {
        case REFUSED -> REFUSED;
        case RESPONSE_STARTED -> RESPONDED;
        default -> this;
      };
    }
  },
  /** The upstream said that it did not run the request. */
  REFUSED {
    @Override
    public AttemptState after(AttemptEvent e) {
      return this;
    }
  },
  /** The upstream's answer has begun to arrive. */
  RESPONDED {
    @Override
    public AttemptState after(AttemptEvent e) {
      return this;
    }
  };

  /**
   * Follows an event.
   *
   * @param e what happened
   * @return the next state
   */
  public abstract AttemptState after(AttemptEvent e);

  /**
   * Tells whether the request certainly did not run.
   *
   * @return true when it did not run
   */
  public boolean provesNotRun() {
    return this == NOT_SENT || this == REFUSED;
  }

  /**
   * Decides what follows a failed attempt.
   *
   * @param r what is known of the request
   * @return the step to take
   */
  public RetryDecision decideAfterFailure(RetryConditions r) {
    Objects.requireNonNull(r, "r is null");
    if (this == RESPONDED) {
      return RetryDecision.ABORT_RESPONSE;
    }
    boolean mayRepeat = provesNotRun() || r.idempotent();
    if (mayRepeat && r.bodyReplayable() && r.retryAllowed()) {
      return RetryDecision.RETRY;
    }
    return provesNotRun() && r.earlierAttemptsNotRun()
        ? RetryDecision.REPORT_NOT_RUN
        : RetryDecision.REPORT_UNKNOWN;
  }
}
