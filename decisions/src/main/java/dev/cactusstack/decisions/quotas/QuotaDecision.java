package dev.cactusstack.decisions.quotas;

import java.util.Objects;

/**
 * The answer to a request for a permit. Immutable and thread-safe.
 *
 * @param outcome what was decided
 * @param retryAfterMs time until a permit will be available, in milliseconds; 0 unless refused
 */
public record QuotaDecision(Outcome outcome, long retryAfterMs) {
  /** A permit was granted. */
  public static final QuotaDecision GRANTED = new QuotaDecision(Outcome.GRANTED, 0);

  /** The host that was asked can't decide. */
  public static final QuotaDecision UNDECIDED = new QuotaDecision(Outcome.UNDECIDED, 0);

  /** What was decided. The order is that of the encoding. */
  public enum Outcome {
    /** The request may run. */
    GRANTED,
    /** The workspace is over its quota. */
    REFUSED,
    /** The host has no share of the quota, or does not know the workspace. */
    UNDECIDED
  }

  /** Checks the components. */
  public QuotaDecision {
    Objects.requireNonNull(outcome, "outcome is null");
    if (retryAfterMs < 0) {
      throw new IllegalArgumentException("retryAfterMs is negative");
    }
  }

  /**
   * Creates a refusal.
   *
   * @param retryAfterMs time until a permit will be available, in milliseconds
   * @return the decision
   */
  public static QuotaDecision refused(long retryAfterMs) {
    return new QuotaDecision(Outcome.REFUSED, retryAfterMs);
  }

  /**
   * Checks whether the request may run.
   *
   * @return false if it was refused or nothing was decided
   */
  public boolean isGranted() {
    return outcome == Outcome.GRANTED;
  }
}
