package dev.cactusstack.decisions.workspaces;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationStalenessTest {
  private static final long NEVER_READ_MS = Long.MAX_VALUE / 2;
  private static final long MAX_MS = ConfigurationStaleness.MAX_UNCONFIRMED_MS;

  @ParameterizedTest
  @CsvSource({
    // own read, heartbeat (-1: none), behind, stale
    "0, -1, false, false",
    "1300, -1, false, false",
    "1301, -1, false, true",
    "1301, 1301, false, true",
    "1301, 1300, false, false",
    "4611686018427387903, 0, false, false",
    "4611686018427387903, -1, false, true",
    "0, 0, true, true"
  })
  void shouldBeStaleWhenNothingRecentConfirmsTheConfiguration(
      long ownReadAgeMs, long heartbeatAgeMs, boolean mayBeBehind, boolean expected) {
    OptionalLong confirmed =
        heartbeatAgeMs < 0 ? OptionalLong.empty() : OptionalLong.of(heartbeatAgeMs);
    assertThat(ConfigurationStaleness.mayBeStale(ownReadAgeMs, confirmed, mayBeBehind))
        .isEqualTo(expected);
  }

  /** Guards against a boundary that the cases above no longer test. */
  @Test
  void shouldBeStaleBeforeAChangeMustBeInForceEverywhere() {
    long confirmedForMs = 1_200;
    long changeInForceMs = 2_500;
    assertThat(MAX_MS + confirmedForMs).isLessThanOrEqualTo(changeInForceMs);
    assertThat(ConfigurationStaleness.mayBeStale(NEVER_READ_MS, OptionalLong.of(MAX_MS + 1), false))
        .isTrue();
  }

  /** Guards against one call of the store for each request with a wrong key. */
  @Test
  void shouldAllowOneReadPerIntervalWhenManyRequestsAskForIt() {
    var staleness = new ConfigurationStaleness();
    int reads = 0;
    for (long nowMs = 0; nowMs < 6_000; nowMs++) {
      reads += staleness.tryAcquireRead(nowMs) ? 1 : 0;
    }
    assertThat(reads).isEqualTo(10);
  }
}
