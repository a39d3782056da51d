package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RestBoundTest {
  private final IdleReuseLimit bound = new IdleReuseLimit();

  @Test
  void shouldShortenTheRestWhenRestedConnectionsAreForgotten() {
    bound.recordReset(400, 1_000);
    assertThat(bound.maxIdleMs(false, 1_000)).isGreaterThan(400);
    bound.recordReset(900, 1_300);
    assertThat(bound.maxIdleMs(false, 1_300)).isLessThan(400);
    assertThat(bound.maxIdleMs(true, 1_300)).isLessThan(400);
  }

  @Test
  void shouldAllowTheUsualRestAgainWhenNoneWasForgottenForAWhile() {
    bound.recordReset(400, 1_000);
    bound.recordReset(900, 1_300);
    assertThat(bound.maxIdleMs(false, 20_000)).isEqualTo(5_000);
    assertThat(bound.maxIdleMs(true, 20_000)).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void shouldLeaveTheRestWhenAnOverloadedUpstreamResetsNewConnectionsToo() {
    for (int i = 0; i < 20; i++) {
      bound.recordReset(0, 1_000 + i * 50);
      bound.recordReset(700, 1_010 + i * 50);
    }
    assertThat(bound.maxIdleMs(false, 2_100)).isEqualTo(5_000);
  }

  @Test
  void shouldLeaveTheRestWhenResetsAreFarApart() {
    bound.recordReset(700, 1_000);
    bound.recordReset(700, 9_000);
    assertThat(bound.maxIdleMs(false, 9_000)).isEqualTo(5_000);
  }
}
