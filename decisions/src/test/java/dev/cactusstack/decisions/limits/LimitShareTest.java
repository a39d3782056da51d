package dev.cactusstack.decisions.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LimitShareTest {
  private static final long SETTLED_MS = 60_000;

  @ParameterizedTest
  @CsvSource({
    "0, 4000, 10, 10, 1",
    "0, 3999, 10, 10, 0.2",
    "1, 0, 10, 10, 0.2",
    "2, 0, 10, 10, 0",
    "-1, 60000, 10, 10, 0",
    "0, 60000, 6, 10, 1",
    "0, 60000, 5, 10, 0.1",
    "1, 60000, 5, 10, 0",
    "0, 60000, 2, 10, 0",
    "0, 60000, 1, 1, 1"
  })
  void shouldDependOnTheRankAndOnHowManyHostsAreSeen(
      int rank, long firstForMs, int usableHosts, int knownHosts, double expected) {
    assertThat(LimitShare.of(rank, firstForMs, usableHosts, knownHosts)).isEqualTo(expected);
  }

  /** Each group of hosts sees only itself, and has a scheduler and a second. */
  @Property(tries = 1_000, seed = "32")
  void shouldKeepTheSumWithinTheTotalWhenHostsAreSeparated(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 60) Integer> groupSizes) {
    int knownHosts = groupSizes.stream().mapToInt(Integer::intValue).sum();
    double sum = 0;
    for (int usableHosts : groupSizes) {
      sum += LimitShare.of(0, SETTLED_MS, usableHosts, knownHosts);
      sum += usableHosts > 1 ? LimitShare.of(1, 0, usableHosts, knownHosts) : 0;
    }
    assertThat(sum).isLessThanOrEqualTo(LimitShare.MAX_TOTAL);
  }
}
