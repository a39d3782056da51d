package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Replays overload, slowdowns and outages to compare the scheduler with a round-robin policy. */
class SchedulerReplayTest {
  private static final int SLOTS = 2;
  private static final int UPSTREAMS = 12;
  private static final long LENGTH_MS = 20_000;
  private static final long SEED = 5;

  private static Replay.LoadPattern pattern(double rate) {
    return Replay.pattern(nowMs -> rate, (upstream, nowMs) -> 1);
  }

  private static Replay replay(Replay.LoadPattern p) {
    return new Replay(UPSTREAMS, SLOTS, LENGTH_MS, SEED, p);
  }

  private static boolean isDuringDisturbance(long nowMs) {
    return nowMs >= 5_000 && nowMs < 12_000;
  }

  @Test
  void shouldServeMoreOnTimeWhenTheServiceIsOverloaded() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> isDuringDisturbance(nowMs) ? 400 : 150, (upstream, nowMs) -> 1));
    Replay.ReplayResult before = r.runRoundRobin();
    Replay.ReplayResult after = r.runScheduler(true);
    assertThat(after.onTime()).isGreaterThan((int) (before.onTime() * 1.2));
    assertThat(after.onTime() + after.late())
        .isGreaterThanOrEqualTo((int) ((before.onTime() + before.late()) * 0.9));
  }

  @Test
  void shouldServeMoreOnTimeWhenADataCentreIsLostUnderHighLoad() {
    Replay r =
        replay(
            new Replay.LoadPattern() {
              @Override
              public double requestsPerSecond(long nowMs) {
                return 200;
              }

              @Override
              public double slowdown(int upstream, long nowMs) {
                return 1;
              }

              @Override
              public boolean isAvailable(int upstream, long nowMs) {
                return !isDuringDisturbance(nowMs) || upstream >= UPSTREAMS / 3;
              }
            });
    assertThat(r.runScheduler(true).onTime())
        .isGreaterThan((int) (r.runRoundRobin().onTime() * 1.2));
  }

  @Test
  void shouldServeMoreOnTimeWhenNoisyNeighboursSlowUpstreamsForHalfSeconds() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 100, (upstream, nowMs) -> Replay.noise(SEED, upstream, nowMs, 0.25, 7)));
    Replay.ReplayResult before = r.runRoundRobin();
    Replay.ReplayResult unprobed = r.runScheduler(false);
    Replay.ReplayResult probed = r.runScheduler(true);
    assertThat(unprobed.onTime()).isGreaterThan(before.onTime());
    assertThat(probed.onTime()).isGreaterThan(unprobed.onTime());
  }

  @Test
  void shouldServeMoreOnTimeWhenAThirdOfTheUpstreamsIsFiveTimesSlower() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 120,
                (upstream, nowMs) ->
                    isDuringDisturbance(nowMs) && upstream < UPSTREAMS / 3 ? 5 : 1));
    assertThat(r.runScheduler(true).missed()).isLessThan(r.runRoundRobin().missed() / 2);
  }

  @Test
  void shouldServeMoreOnTimeWhenSomeUpstreamsHang() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 100,
                (upstream, nowMs) -> isDuringDisturbance(nowMs) && upstream < 2 ? 0 : 1));
    assertThat(r.runScheduler(true).missed()).isLessThan(r.runRoundRobin().missed() / 2);
  }

  @Test
  void shouldKeepTheWarmupLimitAndServeWhenADataCentreReturnsCold() {
    Replay r =
        replay(
            new Replay.LoadPattern() {
              @Override
              public double requestsPerSecond(long nowMs) {
                return 180;
              }

              @Override
              public double slowdown(int upstream, long nowMs) {
                return warmupRemainingMs(upstream, nowMs) > 0 ? 2 : 1;
              }

              @Override
              public boolean isAvailable(int upstream, long nowMs) {
                return upstream >= UPSTREAMS / 3 || nowMs < 5_000 || nowMs >= 9_000;
              }

              @Override
              public long warmupRemainingMs(int upstream, long nowMs) {
                boolean back = upstream < UPSTREAMS / 3 && nowMs >= 9_000 && nowMs < 12_000;
                return back ? 12_000 - nowMs : 0;
              }
            });
    Replay.ReplayResult unbounded = r.runRoundRobin();
    Replay.ReplayResult after = r.runScheduler(true);
    assertThat(after.maxColdPerSecond())
        .isLessThanOrEqualTo(13)
        .isLessThan(unbounded.maxColdPerSecond());
    assertThat(after.onTime()).isGreaterThanOrEqualTo((int) (unbounded.onTime() * 0.95));
  }

  @Test
  void shouldServeAllOnTimeWhenThereIsCapacityForAll() {
    Replay.ReplayResult o = replay(pattern(100)).runScheduler(true);
    assertThat(o.rejected()).isZero();
    assertThat(o.onTime()).isGreaterThanOrEqualTo((int) (o.asked() * 0.99));
  }

  @Test
  void shouldServeMoreOnTimeWhenHedgesTakeOnlySpareSlots() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 200, (upstream, nowMs) -> Replay.noise(SEED, upstream, nowMs, 0.35, 7)));
    Replay.ReplayResult before = r.runScheduler(true, Replay.SecondAttempt.AS_NEW_REQUEST);
    Replay.ReplayResult after = r.runScheduler(true, Replay.SecondAttempt.HEDGE);
    assertThat(after.onTime()).isGreaterThan(before.onTime());
    assertThat(after.rejected()).isLessThan(before.rejected());
  }

  /**
   * Replays upstreams that shed nearly half of their requests, at a load that the others and what
   * they take leave room for: nothing may be rejected while an upstream that may run it is free.
   */
  @Test
  void shouldRejectNothingWhenMostUpstreamsShedAPartOfTheirRequestsAndSlotsAreFree() {
    Replay r =
        replay(
            new Replay.LoadPattern() {
              @Override
              public double requestsPerSecond(long nowMs) {
                return 120;
              }

              @Override
              public double slowdown(int upstream, long nowMs) {
                return 1;
              }

              @Override
              public double refusalShare(int upstream, long nowMs) {
                return isDuringDisturbance(nowMs) && upstream < UPSTREAMS * 2 / 3 ? 0.45 : 0;
              }
            });
    Replay.ReplayResult after = r.runScheduler(true);
    assertThat(after.rejected()).isZero();
    assertThat(after.onTime()).isGreaterThanOrEqualTo((int) (after.asked() * 0.95));
  }
}
