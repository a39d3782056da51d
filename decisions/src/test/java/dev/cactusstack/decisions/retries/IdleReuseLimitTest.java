package dev.cactusstack.decisions.retries;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IdleReuseLimitTest {
  private final IdleReuseLimit limit = new IdleReuseLimit();

  @Test
  void shouldLowerTheLimitWhenIdleConnectionsAreReset() {
    limit.recordReset(400, 1_000);
    assertThat(limit.maxIdleMs(false, 1_000)).isGreaterThan(400);
    limit.recordReset(900, 1_300);
    assertThat(limit.maxIdleMs(false, 1_300)).isLessThan(400);
    assertThat(limit.maxIdleMs(true, 1_300)).isLessThan(400);
  }

  @Test
  void shouldRestoreTheLimitWhenNoIdleConnectionWasResetForAWhile() {
    limit.recordReset(400, 1_000);
    limit.recordReset(900, 1_300);
    assertThat(limit.maxIdleMs(false, 20_000)).isEqualTo(5_000);
    assertThat(limit.maxIdleMs(true, 20_000)).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void shouldKeepTheLimitWhenAnOverloadedUpstreamResetsNewConnectionsToo() {
    for (int i = 0; i < 20; i++) {
      limit.recordReset(0, 1_000 + i * 50);
      limit.recordReset(700, 1_010 + i * 50);
    }
    assertThat(limit.maxIdleMs(false, 2_100)).isEqualTo(5_000);
  }

  @Test
  void shouldKeepTheLimitWhenResetsAreFarApart() {
    limit.recordReset(700, 1_000);
    limit.recordReset(700, 9_000);
    assertThat(limit.maxIdleMs(false, 9_000)).isEqualTo(5_000);
  }
}
