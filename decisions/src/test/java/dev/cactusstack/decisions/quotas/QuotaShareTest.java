package dev.cactusstack.decisions.quotas;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QuotaShareTest {
  private static final long LONG_MS = 60_000;

  @ParameterizedTest
  @CsvSource({
    "0, 4000, 10, 10, 60000, 1",
    "0, 3999, 10, 10, 60000, 0.5",
    "0, 0, 10, 10, 4000, 1",
    "0, 0, 10, 10, 4001, 0.5",
    "1, 0, 10, 10, 60000, 0.1",
    "1, 0, 10, 10, 400, 0.1",
    "2, 0, 10, 10, 60000, 0",
    "-1, 60000, 10, 10, 60000, 0",
    "-1, 0, 10, 10, 0, 0",
    "0, 60000, 6, 10, 60000, 1",
    "0, 60000, 5, 10, 60000, 0.1",
    "1, 60000, 5, 10, 60000, 0",
    "0, 60000, 2, 10, 60000, 0",
    "0, 0, 2, 10, 400, 0.2",
    "1, 0, 2, 10, 400, 0",
    "0, 60000, 1, 1, 60000, 1"
  })
  void shouldDependOnTheRankAndOnWhichHostsAreSeen(
      int rank,
      long firstForMs,
      int usableHosts,
      int knownHosts,
      long longestRunningMs,
      double expected) {
    assertThat(QuotaShare.of(rank, firstForMs, usableHosts, knownHosts, longestRunningMs))
        .isEqualTo(expected);
  }

  /** Each group of hosts sees only itself, and has a first and a second. */
  @Property(tries = 1_000, seed = "32")
  void shouldKeepTheSumWithinTheTotalWhenHostsAreSeparated(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 60) Integer> groupSizes,
      @ForAll boolean justStarted) {
    int known = groupSizes.stream().mapToInt(Integer::intValue).sum();
    long runningMs = justStarted ? 400 : LONG_MS;
    double sum = 0;
    for (int usable : groupSizes) {
      sum += QuotaShare.of(0, LONG_MS, usable, known, runningMs);
      sum += usable > 1 ? QuotaShare.of(1, 0, usable, known, runningMs) : 0;
    }
    // A majority that was lost and restarts has 1.1 and the rest its part.
    assertThat(sum).isLessThanOrEqualTo(justStarted ? 1.6 : 1.2);
  }
}
