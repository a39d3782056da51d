package dev.cactusstack.decisions.state;

import java.util.Objects;

/**
 * The inferred health of one upstream and the number of requests it may get.
 *
 * <p>Invariants: {@code inFlightLimit} is at least 1; the smoothed values are not negative.
 * Immutable and thread-safe.
 *
 * @param state the inferred state
 * @param inFlightLimit the inferred limit on requests in flight; the operators' limits apply in
 *     addition
 * @param successesAtLimit successes since the in-flight limit last changed
 * @param consecutiveFailures failures since the last success
 * @param latencyMs smoothed response time, in milliseconds
 * @param failureRate smoothed share of failed requests, from 0 to 1
 * @param nextTrialAtMs when an unreachable upstream may get its next trial request, on the clock of
 *     {@link #observe}
 */
public record UpstreamHealth(
    UpstreamState state,
    int inFlightLimit,
    int successesAtLimit,
    int consecutiveFailures,
    double latencyMs,
    double failureRate,
    long nextTrialAtMs) {

  /** The health of a newly listed upstream, which is cold until its responses show otherwise. */
  public static final UpstreamHealth INITIAL =
      new UpstreamHealth(UpstreamState.COLD, 1, 0, 0, 1, 0, 0);

  private static final int UNLIMITED = 1 << 20;
  private static final int SUCCESSES_PER_STEP = 8;
  private static final int WARM_IN_FLIGHT_LIMIT = 8;
  private static final int FAILURES_TO_UNREACHABLE = 3;
  private static final double SMOOTHING = 0.2;

  /** A response time that differs by this factor gets more weight, to follow sudden changes. */
  private static final double SUDDEN_CHANGE_RATIO = 2;

  private static final double LATENCY_RISE_SMOOTHING = 0.5;

  /** High, because a slow upstream hardly ever responds this much faster by chance. */
  private static final double LATENCY_DROP_SMOOTHING = 0.9;

  private static final long INITIAL_BACKOFF_MS = 250;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /**
   * Returns the health after an observation.
   *
   * @param observation the observation
   * @param nowMs the time of the observation, in milliseconds on any monotonic clock
   * @return the updated health
   */
  public UpstreamHealth observe(Observation observation, long nowMs) {
    Objects.requireNonNull(observation, "observation is null");
    if (observation instanceof Observation.Success response) {
      return afterSuccess(response);
    }
    if (observation instanceof Observation.ServerError response) {
      return withSample(response.latencyMs(), 1);
    }
    if (observation instanceof Observation.Refusal
        || observation instanceof Observation.ReportedCold) {
      return resetToCold();
    }
    if (observation instanceof Observation.ReportedLeaving) {
      return withState(UpstreamState.LEAVING, 1);
    }
    if (observation instanceof Observation.StateExpired) {
      return state == UpstreamState.LEAVING ? this : INITIAL;
    }
    if (observation instanceof Observation.ListedActive) {
      return state == UpstreamState.LEAVING ? INITIAL : this;
    }
    return afterFailure(nowMs);
  }

  private UpstreamHealth afterSuccess(Observation.Success response) {
    UpstreamHealth updated = withSample(response.latencyMs(), 0);
    return switch (state) {
      case LEAVING -> updated;
      case UNREACHABLE ->
          new UpstreamHealth(
              UpstreamState.COLD, 1, 0, 0, updated.latencyMs, updated.failureRate, 0);
      case WARM ->
          new UpstreamHealth(state, inFlightLimit, 0, 0, updated.latencyMs, updated.failureRate, 0);
      case COLD -> updated.withSuccessCounted(response.reportedWarm());
    };
  }

  private UpstreamHealth withSuccessCounted(boolean reportedWarm) {
    int requiredSuccesses = reportedWarm ? 1 : SUCCESSES_PER_STEP;
    if (successesAtLimit + 1 < requiredSuccesses) {
      return new UpstreamHealth(
          state, inFlightLimit, successesAtLimit + 1, 0, latencyMs, failureRate, nextTrialAtMs);
    }
    int nextLimit = inFlightLimit + 1;
    boolean warm = nextLimit >= WARM_IN_FLIGHT_LIMIT;
    return new UpstreamHealth(
        warm ? UpstreamState.WARM : UpstreamState.COLD,
        warm ? UNLIMITED : nextLimit,
        0,
        0,
        latencyMs,
        failureRate,
        nextTrialAtMs);
  }

  private UpstreamHealth withSample(double sampleMs, double failure) {
    double weight = SMOOTHING;
    if (sampleMs > SUDDEN_CHANGE_RATIO * latencyMs) {
      weight = LATENCY_RISE_SMOOTHING;
    } else if (latencyMs > SUDDEN_CHANGE_RATIO * sampleMs) {
      weight = LATENCY_DROP_SMOOTHING;
    }
    return new UpstreamHealth(
        state,
        inFlightLimit,
        successesAtLimit,
        consecutiveFailures,
        latencyMs + weight * (sampleMs - latencyMs),
        failureRate + SMOOTHING * (failure - failureRate),
        nextTrialAtMs);
  }

  private UpstreamHealth resetToCold() {
    return state == UpstreamState.LEAVING ? this : withState(UpstreamState.COLD, 1);
  }

  private UpstreamHealth afterFailure(long nowMs) {
    int failureCount = consecutiveFailures + 1;
    double nextFailureRate = failureRate + SMOOTHING * (1 - failureRate);
    if (failureCount < FAILURES_TO_UNREACHABLE && state != UpstreamState.UNREACHABLE) {
      UpstreamState nextState = state == UpstreamState.LEAVING ? state : UpstreamState.COLD;
      return new UpstreamHealth(
          nextState, 1, 0, failureCount, latencyMs, nextFailureRate, nextTrialAtMs);
    }
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, failureCount - FAILURES_TO_UNREACHABLE);
    long backoffMs = INITIAL_BACKOFF_MS << Math.max(0, doublings);
    UpstreamState nextState = state == UpstreamState.LEAVING ? state : UpstreamState.UNREACHABLE;
    return new UpstreamHealth(
        nextState, 1, 0, failureCount, latencyMs, nextFailureRate, nowMs + backoffMs);
  }

  private UpstreamHealth withState(UpstreamState newState, int newLimit) {
    return new UpstreamHealth(newState, newLimit, 0, 0, latencyMs, failureRate, nextTrialAtMs);
  }

  /**
   * Returns how many requests may be in flight now.
   *
   * @param operatorLimit the operators' limit for one upstream
   * @param nowMs the current time on the clock of {@link #observe}
   * @return the limit; 0 if no request may be sent
   */
  public int effectiveLimit(int operatorLimit, long nowMs) {
    return switch (state) {
      case WARM, COLD -> Math.min(operatorLimit, inFlightLimit);
      case LEAVING -> 0;
      case UNREACHABLE -> nowMs >= nextTrialAtMs ? Math.min(operatorLimit, 1) : 0;
    };
  }
}
