package dev.cactusstack.decisions.state;

import java.util.Objects;

/**
 * What is believed of one upstream, and how much it may be sent.
 *
 * <p>Invariants: {@code allowance} is at least 1; the smoothed values are not negative. Immutable
 * and thread-safe.
 *
 * @param state the inferred state
 * @param inFlightLimit most requests in flight that the evidence supports; operators' limits apply
 *     besides
 * @param successes successes since the allowance last changed
 * @param consecutiveFailures failures without a success between them
 * @param latencyMs smoothed time of an answer, in milliseconds
 * @param failureRate smoothed share of failed answers, from 0 to 1
 * @param nextTrialAtMs when an unreachable upstream may get its next trial, on the caller's clock
 */
public record UpstreamHealth(
    UpstreamState state,
    int inFlightLimit,
    int successes,
    int consecutiveFailures,
    double latencyMs,
    double failureRate,
    long nextTrialAtMs) {

  /** What a newly listed upstream starts from: cold until it proves otherwise. */
  public static final UpstreamHealth INITIAL =
      new UpstreamHealth(UpstreamState.COLD, 1, 0, 0, 1, 0, 0);

  private static final int FULL = 1 << 20;
  private static final int SUCCESSES_PER_STEP = 8;
  private static final int WARM_ALLOWANCE = 8;
  private static final int FAILURES_TO_UNREACHABLE = 3;
  private static final double SMOOTHING = 0.2;

  /** An answer time that differs by this factor counts more, to follow sudden changes. */
  private static final double SUDDEN_RATIO = 2;

  private static final double SLOWER_SMOOTHING = 0.5;

  /** A slow upstream hardly ever answers this much quicker by chance. */
  private static final double QUICKER_SMOOTHING = 0.9;

  private static final long FIRST_PAUSE_MS = 250;
  private static final int MAX_PAUSE_DOUBLINGS = 6;

  /**
   * Takes one observation into account.
   *
   * @param e the observation
   * @param nowMs the time of the observation, in milliseconds on any steady clock
   * @return the changed belief
   */
  public UpstreamHealth observe(Observation e, long nowMs) {
    Objects.requireNonNull(e, "e is null");
    if (e instanceof Observation.Success s) {
      return success(s);
    }
    if (e instanceof Observation.ServerError s) {
      return smoothed(s.latencyMs(), 1);
    }
    if (e instanceof Observation.Refusal || e instanceof Observation.ReportedCold) {
      return collapsed();
    }
    if (e instanceof Observation.ReportedLeaving) {
      return with(UpstreamState.LEAVING, 1);
    }
    if (e instanceof Observation.StateExpired) {
      return state == UpstreamState.LEAVING ? this : INITIAL;
    }
    if (e instanceof Observation.ListedActive) {
      return state == UpstreamState.LEAVING ? INITIAL : this;
    }
    return failed(nowMs);
  }

  private UpstreamHealth success(Observation.Success s) {
    UpstreamHealth h = smoothed(s.latencyMs(), 0);
    return switch (state) {
      case LEAVING -> h;
      case UNREACHABLE ->
          new UpstreamHealth(UpstreamState.COLD, 1, 0, 0, h.latencyMs, h.failureRate, 0);
      case WARM -> new UpstreamHealth(state, inFlightLimit, 0, 0, h.latencyMs, h.failureRate, 0);
      case COLD -> h.grown(s.reportedWarm());
    };
  }

  private UpstreamHealth grown(boolean saysWarm) {
    int enough = saysWarm ? 1 : SUCCESSES_PER_STEP;
    if (successes + 1 < enough) {
      return new UpstreamHealth(
          state, inFlightLimit, successes + 1, 0, latencyMs, failureRate, nextTrialAtMs);
    }
    int next = inFlightLimit + 1;
    boolean warm = next >= WARM_ALLOWANCE;
    return new UpstreamHealth(
        warm ? UpstreamState.WARM : UpstreamState.COLD,
        warm ? FULL : next,
        0,
        0,
        latencyMs,
        failureRate,
        nextTrialAtMs);
  }

  private UpstreamHealth smoothed(double ms, double failure) {
    double weight = SMOOTHING;
    if (ms > SUDDEN_RATIO * latencyMs) {
      weight = SLOWER_SMOOTHING;
    } else if (latencyMs > SUDDEN_RATIO * ms) {
      weight = QUICKER_SMOOTHING;
    }
    return new UpstreamHealth(
        state,
        inFlightLimit,
        successes,
        consecutiveFailures,
        latencyMs + weight * (ms - latencyMs),
        failureRate + SMOOTHING * (failure - failureRate),
        nextTrialAtMs);
  }

  private UpstreamHealth collapsed() {
    return state == UpstreamState.LEAVING ? this : with(UpstreamState.COLD, 1);
  }

  private UpstreamHealth failed(long nowMs) {
    int n = consecutiveFailures + 1;
    double share = failureRate + SMOOTHING * (1 - failureRate);
    if (n < FAILURES_TO_UNREACHABLE && state != UpstreamState.UNREACHABLE) {
      UpstreamState s = state == UpstreamState.LEAVING ? state : UpstreamState.COLD;
      return new UpstreamHealth(s, 1, 0, n, latencyMs, share, nextTrialAtMs);
    }
    int doublings = Math.min(MAX_PAUSE_DOUBLINGS, n - FAILURES_TO_UNREACHABLE);
    long pause = FIRST_PAUSE_MS << Math.max(0, doublings);
    UpstreamState s = state == UpstreamState.LEAVING ? state : UpstreamState.UNREACHABLE;
    return new UpstreamHealth(s, 1, 0, n, latencyMs, share, nowMs + pause);
  }

  private UpstreamHealth with(UpstreamState s, int allowed) {
    return new UpstreamHealth(s, allowed, 0, 0, latencyMs, failureRate, nextTrialAtMs);
  }

  /**
   * Computes how many requests may be in flight now.
   *
   * @param operatorLimit the operators' limit for one upstream
   * @param nowMs the present time on the clock of {@link #observe}
   * @return the limit, 0 when nothing may be sent
   */
  public int effectiveLimit(int operatorLimit, long nowMs) {
    return switch (state) {
      case WARM, COLD -> Math.min(operatorLimit, inFlightLimit);
      case LEAVING -> 0;
      case UNREACHABLE -> nowMs >= nextTrialAtMs ? Math.min(operatorLimit, 1) : 0;
    };
  }
}
