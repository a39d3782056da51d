package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Replays the loads that the decisions are for, against placing in turn with the oldest first. */
class SchedulerReplayTest {
  private static final int SLOTS = 2;
  private static final int UPSTREAMS = 12;
  private static final long LENGTH_MS = 20_000;
  private static final long SEED = 5;

  private static Replay.Pattern pattern(double rate) {
    return Replay.pattern(nowMs -> rate, (upstream, nowMs) -> 1);
  }

  private static Replay replay(Replay.Pattern p) {
    return new Replay(UPSTREAMS, SLOTS, LENGTH_MS, SEED, p);
  }

  private static boolean during(long nowMs) {
    return nowMs >= 5_000 && nowMs < 12_000;
  }

  @Test
  void shouldServeMoreOnTimeWhenMoreRequestsComeThanCanBeServed() {
    Replay r = replay(Replay.pattern(nowMs -> during(nowMs) ? 400 : 150, (upstream, nowMs) -> 1));
    Replay.Outcome before = r.inTurn();
    Replay.Outcome after = r.scheduled(true);
    assertThat(after.onTime()).isGreaterThan((int) (before.onTime() * 1.2));
    assertThat(after.onTime() + after.late())
        .isGreaterThanOrEqualTo((int) ((before.onTime() + before.late()) * 0.9));
  }

  @Test
  void shouldServeMoreOnTimeWhenADataCentreIsLostUnderHighLoad() {
    Replay r =
        replay(
            new Replay.Pattern() {
              @Override
              public double rate(long nowMs) {
                return 200;
              }

              @Override
              public double pace(int upstream, long nowMs) {
                return 1;
              }

              @Override
              public boolean there(int upstream, long nowMs) {
                return !during(nowMs) || upstream >= UPSTREAMS / 3;
              }
            });
    assertThat(r.scheduled(true).onTime()).isGreaterThan((int) (r.inTurn().onTime() * 1.2));
  }

  @Test
  void shouldServeMoreOnTimeWhenNeighboursStealCapacityForHalfSeconds() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 100, (upstream, nowMs) -> Replay.noise(SEED, upstream, nowMs, 0.25, 7)));
    Replay.Outcome before = r.inTurn();
    Replay.Outcome unprobed = r.scheduled(false);
    Replay.Outcome probed = r.scheduled(true);
    assertThat(unprobed.onTime()).isGreaterThan(before.onTime());
    assertThat(probed.onTime()).isGreaterThan(unprobed.onTime());
  }

  @Test
  void shouldServeMoreOnTimeWhenAThirdOfTheUpstreamsIsFiveTimesSlower() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 120,
                (upstream, nowMs) -> during(nowMs) && upstream < UPSTREAMS / 3 ? 5 : 1));
    assertThat(r.scheduled(true).missed()).isLessThan(r.inTurn().missed() / 2);
  }

  @Test
  void shouldServeMoreOnTimeWhenSomeUpstreamsHang() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 100, (upstream, nowMs) -> during(nowMs) && upstream < 2 ? 0 : 1));
    assertThat(r.scheduled(true).missed()).isLessThan(r.inTurn().missed() / 2);
  }

  @Test
  void shouldKeepTheColdBoundAndServeWhenADataCentreReturnsCold() {
    Replay r =
        replay(
            new Replay.Pattern() {
              @Override
              public double rate(long nowMs) {
                return 180;
              }

              @Override
              public double pace(int upstream, long nowMs) {
                return coldMs(upstream, nowMs) > 0 ? 2 : 1;
              }

              @Override
              public boolean there(int upstream, long nowMs) {
                return upstream >= UPSTREAMS / 3 || nowMs < 5_000 || nowMs >= 9_000;
              }

              @Override
              public long coldMs(int upstream, long nowMs) {
                boolean back = upstream < UPSTREAMS / 3 && nowMs >= 9_000 && nowMs < 12_000;
                return back ? 12_000 - nowMs : 0;
              }
            });
    Replay.Outcome unbounded = r.inTurn();
    Replay.Outcome after = r.scheduled(true);
    assertThat(after.mostColdASecond())
        .isLessThanOrEqualTo(13)
        .isLessThan(unbounded.mostColdASecond());
    assertThat(after.onTime()).isGreaterThanOrEqualTo((int) (unbounded.onTime() * 0.95));
  }

  @Test
  void shouldServeEveryoneOnTimeWhenThereIsRoomForAll() {
    Replay.Outcome o = replay(pattern(100)).scheduled(true);
    assertThat(o.turnedAway()).isZero();
    assertThat(o.onTime()).isGreaterThanOrEqualTo((int) (o.asked() * 0.99));
  }

  @Test
  void shouldServeMoreOnTimeWhenSecondAttemptsTakeOnlyWhatIsLeftOver() {
    Replay r =
        replay(
            Replay.pattern(
                nowMs -> 200, (upstream, nowMs) -> Replay.noise(SEED, upstream, nowMs, 0.35, 7)));
    Replay.Outcome before = r.scheduled(true, Replay.Second.LIKE_FIRST);
    Replay.Outcome after = r.scheduled(true, Replay.Second.SPARE);
    assertThat(after.onTime()).isGreaterThan(before.onTime());
    assertThat(after.turnedAway()).isLessThan(before.turnedAway());
  }
}
