package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.decisions.limits.LimitShare;
import dev.cactusstack.decisions.limits.RequestLimit;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Counts the requests that arrive at upstreams that limit them, in virtual time. */
class SchedulerLimitReplayTest {
  private static final long LENGTH_MS = 30_000;
  private static final long NAMED_AT_MS = 5_000;
  private static final long CHANGE_AT_MS = 15_000;
  private static final long SETTLING_MS = 4_000;
  private static final double LOST_SHARE = 0.02;
  private static final int SEEDS = 3;
  private static final double UNLIMITED = RequestLimit.UNLIMITED;

  /** A limit that is named from some time on. */
  private static LimitSimulation.Limit named(double requestsPerSecond) {
    return nowMs -> nowMs < NAMED_AT_MS ? UNLIMITED : requestsPerSecond;
  }

  private static LimitSimulation.Limit changed(double before, double after) {
    return nowMs -> nowMs < CHANGE_AT_MS ? named(before).requestsPerSecond(nowMs) : after;
  }

  /** One scheduler for all hosts. */
  private static class OneScheduler implements LimitSimulation.Schedulers {
    @Override
    public int count() {
      return 1;
    }

    @Override
    public int of(int host, long nowMs) {
      return 0;
    }

    @Override
    public double share(int scheduler, long nowMs) {
      return 1;
    }

    @Override
    public boolean runs(int scheduler, long nowMs) {
      return true;
    }
  }

  /** The first scheduler ends, and another one follows that knows nothing. */
  private static final class ChangeOfScheduler extends OneScheduler {
    private final long gapMs;

    ChangeOfScheduler(long gapMs) {
      this.gapMs = gapMs;
    }

    @Override
    public int count() {
      return 2;
    }

    @Override
    public int of(int host, long nowMs) {
      return nowMs < CHANGE_AT_MS ? 0 : 1;
    }

    @Override
    public double share(int scheduler, long nowMs) {
      long firstForMs = nowMs - CHANGE_AT_MS - gapMs;
      return scheduler == 0 || firstForMs >= SETTLING_MS ? 1 : LimitShare.of(0, firstForMs, 9, 10);
    }

    @Override
    public boolean runs(int scheduler, long nowMs) {
      return scheduler == 0 ? nowMs < CHANGE_AT_MS : nowMs >= CHANGE_AT_MS + gapMs;
    }
  }

  /** The scheduler ends every 250 ms, and another one follows that knows nothing. */
  private static final class ManyChanges extends OneScheduler {
    private static final long INTERVAL_MS = 250;

    @Override
    public int count() {
      return (int) (LENGTH_MS / INTERVAL_MS) + 1;
    }

    @Override
    public int of(int host, long nowMs) {
      return (int) (nowMs / INTERVAL_MS);
    }

    @Override
    public double share(int scheduler, long nowMs) {
      return LimitShare.of(0, 0, 9, 10);
    }

    @Override
    public boolean runs(int scheduler, long nowMs) {
      return scheduler == nowMs / INTERVAL_MS;
    }
  }

  /** Three hosts act as schedulers all the time, each for a part of the hosts. */
  private static final class SplitViews extends OneScheduler {
    @Override
    public int count() {
      return 3;
    }

    @Override
    public int of(int host, long nowMs) {
      return host % 3;
    }

    @Override
    public double share(int scheduler, long nowMs) {
      return scheduler == 0 ? 1 : LimitShare.of(1, 0, 9, 10);
    }
  }

  /** For a while, the scheduler and a part of the hosts are cut off from most others. */
  private static final class Cut extends OneScheduler {
    private static final int GROUPS = 5;
    private final long cutMs;

    Cut(long cutMs) {
      this.cutMs = cutMs;
    }

    private boolean isCut(long nowMs) {
      return nowMs >= CHANGE_AT_MS && nowMs < CHANGE_AT_MS + cutMs;
    }

    @Override
    public int count() {
      return 2;
    }

    @Override
    public int of(int host, long nowMs) {
      return isCut(nowMs) && host % GROUPS >= 2 ? 1 : 0;
    }

    @Override
    public double share(int scheduler, long nowMs) {
      if (scheduler == 0) {
        boolean settled = nowMs < CHANGE_AT_MS || nowMs >= CHANGE_AT_MS + cutMs + SETTLING_MS;
        return isCut(nowMs)
            ? LimitShare.of(0, nowMs, 2, GROUPS)
            : LimitShare.of(0, settled ? SETTLING_MS : 0, GROUPS, GROUPS);
      }
      return isCut(nowMs)
          ? LimitShare.of(0, nowMs - CHANGE_AT_MS, 3, GROUPS)
          : LimitShare.of(1, 0, GROUPS, GROUPS);
    }
  }

  private static Arrivals play(
      int hosts,
      LongToDoubleFunction requestsPerSecond,
      double lostShare,
      long seed,
      LimitSimulation.Schedulers schedulers,
      LimitSimulation.Limit... limits) {
    return new LimitSimulation(
            hosts, requestsPerSecond, LENGTH_MS, lostShare, seed, schedulers, List.of(limits))
        .run();
  }

  /** Plays several seeds with and without lost reports; returns the last one without. */
  private static Arrivals assertKeeps(
      int hosts,
      LongToDoubleFunction requestsPerSecond,
      LimitSimulation.Schedulers schedulers,
      LimitSimulation.Limit... limits) {
    Arrivals arrivals = new Arrivals(List.of(limits));
    for (long seed = 1; seed <= SEEDS; seed++) {
      arrivals = play(hosts, requestsPerSecond, LOST_SHARE, seed, schedulers, limits);
      assertThat(arrivals.excesses()).isEmpty();
      arrivals = play(hosts, requestsPerSecond, 0, seed, schedulers, limits);
      assertThat(arrivals.excesses()).isEmpty();
    }
    return arrivals;
  }

  /** A demand that is well above the limit. */
  private static LongToDoubleFunction demand(double limit) {
    return nowMs -> Math.max(60, 5 * limit);
  }

  private static void assertUsed(Arrivals arrivals, int upstream, double limit, long fromMs) {
    long seconds = (LENGTH_MS - fromMs) / 1_000;
    assertThat(arrivals.count(upstream, fromMs, LENGTH_MS))
        .isGreaterThanOrEqualTo((long) Math.floor(0.6 * limit * seconds));
  }

  @ParameterizedTest
  @CsvSource({
    "18, 0.5", "18, 1.1", "18, 1.9", "18, 5", "18, 50",
    "150, 0.5", "150, 1.1", "150, 1.9", "150, 5", "150, 50"
  })
  void shouldKeepALimitWhenTheDemandIsHigher(int hosts, double limit) {
    Arrivals arrivals = assertKeeps(hosts, demand(limit), new OneScheduler(), named(limit));
    assertThat(arrivals.excessesOfAllHosts()).isEmpty();
    assertUsed(arrivals, 0, limit, NAMED_AT_MS + SETTLING_MS);
  }

  @ParameterizedTest
  @CsvSource({
    "18, 0.5, 0", "18, 1.1, 0", "18, 1.9, 300", "18, 5, 300", "18, 50, 0",
    "150, 0.5, 0", "150, 1.1, 300", "150, 1.9, 0", "150, 5, 0", "150, 50, 300"
  })
  void shouldKeepALimitWhenTheSchedulerChanges(int hosts, double limit, long gapMs) {
    Arrivals arrivals =
        assertKeeps(hosts, demand(limit), new ChangeOfScheduler(gapMs), named(limit));
    assertUsed(arrivals, 0, limit, CHANGE_AT_MS + 2 * SETTLING_MS);
  }

  @ParameterizedTest
  @CsvSource({
    "18, 0.5", "18, 1.1", "18, 1.9", "18, 5", "18, 50",
    "150, 0.5", "150, 1.1", "150, 1.9", "150, 5", "150, 50"
  })
  void shouldKeepALimitWhenThreeHostsScheduleAtOnce(int hosts, double limit) {
    Arrivals arrivals = assertKeeps(hosts, demand(limit), new SplitViews(), named(limit));
    assertUsed(arrivals, 0, limit, NAMED_AT_MS + SETTLING_MS);
  }

  @ParameterizedTest
  @CsvSource({
    "18, 0.5, 2000", "18, 1.1, 6000", "18, 1.9, 2000", "18, 5, 6000", "18, 50, 2000",
    "150, 0.5, 6000", "150, 1.1, 2000", "150, 1.9, 6000", "150, 5, 2000", "150, 50, 6000"
  })
  void shouldKeepALimitWhenTheHostsAreCutApart(int hosts, double limit, long cutMs) {
    Arrivals arrivals = assertKeeps(hosts, demand(limit), new Cut(cutMs), named(limit));
    assertUsed(arrivals, 0, limit, CHANGE_AT_MS + cutMs + 2 * SETTLING_MS);
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 150})
  void shouldKeepTwoLimitsAtOnceWhenAnotherUpstreamHasNone(int hosts) {
    Arrivals arrivals =
        assertKeeps(
            hosts, demand(50), new OneScheduler(), named(1.1), named(5), nowMs -> UNLIMITED);
    assertUsed(arrivals, 0, 1.1, NAMED_AT_MS + SETTLING_MS);
    assertUsed(arrivals, 1, 5, NAMED_AT_MS + SETTLING_MS);
  }

  /** Guards against counts that start full: each scheduler would place a burst. */
  @ParameterizedTest
  @CsvSource({"18, 0.5", "18, 1.1", "150, 0.5", "150, 1.9"})
  void shouldKeepALimitWhenSchedulersFollowOneAnotherQuickly(int hosts, double limit) {
    assertKeeps(hosts, demand(limit), new ManyChanges(), named(limit));
  }

  /** Guards against a burst that grows while nothing is requested. */
  @ParameterizedTest
  @CsvSource({"18, 0.5", "18, 1.9", "150, 0.5", "150, 5"})
  void shouldKeepALimitWhenTheDemandComesAndGoes(int hosts, double limit) {
    LongToDoubleFunction demand = nowMs -> nowMs / 5_000 % 2 == 0 ? 60 : 0;
    Arrivals arrivals = assertKeeps(hosts, demand, new OneScheduler(), named(limit));
    assertThat(arrivals.excessesOfAllHosts()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"18, 0.5, 50", "18, 5, 1.1", "150, 1.1, 5", "150, 50, 0.5", "150, 1.9, 0"})
  void shouldFollowALimitThatChanges(int hosts, double before, double after) {
    Arrivals arrivals =
        assertKeeps(
            hosts, demand(Math.max(before, after)), new OneScheduler(), changed(before, after));
    assertUsed(arrivals, 0, after, CHANGE_AT_MS + 2 * SETTLING_MS);
  }

  @ParameterizedTest
  @CsvSource({"18, 1.1", "150, 1.1", "18, 0", "150, 0"})
  void shouldSendFreelyAgainWhenTheLimitIsWithdrawn(int hosts, double limit) {
    double demand = 60;
    Arrivals arrivals =
        assertKeeps(hosts, nowMs -> demand, new OneScheduler(), changed(limit, UNLIMITED));
    assertUsed(arrivals, 0, demand, CHANGE_AT_MS + 2 * SETTLING_MS);
  }

  /** The requests over the limit must not be lost: other upstreams take them. */
  @Test
  void shouldServeTheDemandElsewhereWhenOneUpstreamLimitsIt() {
    Arrivals arrivals =
        assertKeeps(18, demand(1.1), new OneScheduler(), named(1.1), nowMs -> UNLIMITED);
    assertUsed(arrivals, 1, 60, NAMED_AT_MS + SETTLING_MS);
  }
}
