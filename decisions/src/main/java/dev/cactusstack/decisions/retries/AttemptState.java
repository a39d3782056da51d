package dev.cactusstack.decisions.retries;

import java.util.Objects;

/**
 * The progress of one attempt to run a request.
 *
 * <p>Invariant: only {@link #NOT_SENT} and {@link #REFUSED} prove that the request did not run.
 * Immutable and thread-safe.
 */
public enum AttemptState {
  /** No byte of the request can have reached an upstream. */
  NOT_SENT {
    @Override
    public AttemptState after(AttemptEvent event) {
      return event == AttemptEvent.SEND_STARTED ? POSSIBLY_RUN : this;
    }
  },
  /** The upstream may have run the request. */
  POSSIBLY_RUN {
    @Override
    public AttemptState after(AttemptEvent event) {
      return switch (event) {
        case REFUSED -> REFUSED;
        case RESPONSE_STARTED -> RESPONDED;
        default -> this;
      };
    }
  },
  /** The upstream responded that it did not run the request. */
  REFUSED {
    @Override
    public AttemptState after(AttemptEvent event) {
      return this;
    }
  },
  /** The upstream's response has begun to arrive. */
  RESPONDED {
    @Override
    public AttemptState after(AttemptEvent event) {
      return this;
    }
  };

  /**
   * Returns the state after an event.
   *
   * @param event the event
   * @return the next state
   */
  public abstract AttemptState after(AttemptEvent event);

  /**
   * Checks whether the request certainly did not run.
   *
   * @return true if the request did not run
   */
  public boolean provesNotRun() {
    return this == NOT_SENT || this == REFUSED;
  }

  /**
   * Decides how to proceed after a failed attempt.
   *
   * @param conditions the properties of the request that a retry depends on
   * @return the decision
   */
  public RetryDecision decideAfterFailure(RetryConditions conditions) {
    Objects.requireNonNull(conditions, "conditions is null");
    if (this == RESPONDED) {
      return RetryDecision.ABORT_RESPONSE;
    }
    boolean mayRetry = provesNotRun() || conditions.idempotent();
    if (mayRetry && conditions.bodyReplayable() && conditions.retryAllowed()) {
      return RetryDecision.RETRY;
    }
    return provesNotRun() && conditions.earlierAttemptsNotRun()
        ? RetryDecision.REPORT_NOT_RUN
        : RetryDecision.REPORT_UNKNOWN;
  }
}
