package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RestBoundTest {
  private final RestBound bound = new RestBound();

  @Test
  void shouldShortenTheRestWhenRestedConnectionsAreForgotten() {
    bound.reset(400, 1_000);
    assertThat(bound.mostMs(false, 1_000)).isGreaterThan(400);
    bound.reset(900, 1_300);
    assertThat(bound.mostMs(false, 1_300)).isLessThan(400);
    assertThat(bound.mostMs(true, 1_300)).isLessThan(400);
  }

  @Test
  void shouldAllowTheUsualRestAgainWhenNoneWasForgottenForAWhile() {
    bound.reset(400, 1_000);
    bound.reset(900, 1_300);
    assertThat(bound.mostMs(false, 20_000)).isEqualTo(5_000);
    assertThat(bound.mostMs(true, 20_000)).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void shouldLeaveTheRestWhenAnOverloadedUpstreamResetsNewConnectionsToo() {
    for (int i = 0; i < 20; i++) {
      bound.reset(0, 1_000 + i * 50);
      bound.reset(700, 1_010 + i * 50);
    }
    assertThat(bound.mostMs(false, 2_100)).isEqualTo(5_000);
  }

  @Test
  void shouldLeaveTheRestWhenResetsAreFarApart() {
    bound.reset(700, 1_000);
    bound.reset(700, 9_000);
    assertThat(bound.mostMs(false, 9_000)).isEqualTo(5_000);
  }
}
