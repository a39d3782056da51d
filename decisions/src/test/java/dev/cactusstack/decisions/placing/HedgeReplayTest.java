package dev.cactusstack.decisions.placing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays slow upstreams with and without hedges, and with and without the limit on hedges. */
class HedgeReplayTest {
  private static final double MAX_SHARE = 0.05;
  private static final long SEED = 3;

  private static HedgeReplay.Result run(
      int hosts, double rate, HedgeReplay.Timing timing, boolean limited) {
    return new HedgeReplay(hosts, rate, timing, MAX_SHARE, MAX_SHARE, limited, SEED).run();
  }

  /** Guards against a tail that hedges do not cut, or cut at more than the operators' limit. */
  @ParameterizedTest
  @ValueSource(ints = {18, 92, 150})
  void shouldCutTheTailWithinTheLimitWhenSomeUpstreamsAreSlow(int hosts) {
    HedgeReplay.Result without = run(hosts, 300, HedgeReplay.Timing.NONE, true);
    HedgeReplay.Result with = run(hosts, 300, HedgeReplay.Timing.LATER_THAN_USUAL, true);
    HedgeReplay.Result expected = run(hosts, 300, HedgeReplay.Timing.EXPECTED, true);
    HedgeReplay.Result unlimited = run(hosts, 300, HedgeReplay.Timing.EXPECTED, false);
    assertThat(with.tailMs()).isLessThan(without.tailMs() * 3 / 4);
    assertThat(with.extremeTailMs())
        .isLessThan(without.extremeTailMs())
        .isLessThan(expected.extremeTailMs());
    assertThat(with.requestShare()).isLessThanOrEqualTo(MAX_SHARE);
    assertThat(with.workShare()).isLessThanOrEqualTo(MAX_SHARE);
    assertThat(expected.requestShare()).isLessThanOrEqualTo(MAX_SHARE);
    assertThat(unlimited.requestShare()).isGreaterThan(MAX_SHARE);
    assertThat(unlimited.workShare()).isGreaterThan(MAX_SHARE);
  }

  /** Guards against hedges that take slots from requests that have none. */
  @ParameterizedTest
  @ValueSource(ints = {18, 150})
  void shouldSendFewHedgesWhenTheServiceIsOverloaded(int hosts) {
    HedgeReplay.Result result = run(hosts, 1_200, HedgeReplay.Timing.LATER_THAN_USUAL, true);
    assertThat(result.requestShare()).isLessThan(MAX_SHARE / 10);
  }
}
