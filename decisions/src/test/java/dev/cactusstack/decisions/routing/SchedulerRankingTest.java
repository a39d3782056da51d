package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SchedulerRankingTest {
  private static List<HostRegistration> hosts(int count, String prefix, int milliCores) {
    var a = new Address("127.0.0.1", 80);
    return IntStream.range(0, count)
        .mapToObj(i -> new HostRegistration(prefix + i, "dc", a, a, milliCores, 1))
        .toList();
  }

  @Test
  void shouldAskStrongHostsFirstWhenSomeAreWeak() {
    List<HostRegistration> all = new ArrayList<>(hosts(100, "weak", 300));
    all.addAll(hosts(2, "strong", 1_500));
    all.addAll(hosts(1, "nearly", 1_200));
    for (int service = 0; service < 20; service++) {
      List<HostRegistration> ranked = SchedulerRanking.rank("s" + service, all, 4);
      assertThat(ranked).hasSize(4).doesNotHaveDuplicates();
      assertThat(ranked.subList(0, 3)).allMatch(e -> e.milliCores() >= 1_200);
    }
  }

  @Test
  void shouldRankAlikeWhenHostsAreListedInAnotherOrder() {
    List<HostRegistration> all = new ArrayList<>(hosts(30, "h", 600));
    List<HostRegistration> ranked = SchedulerRanking.rank("s", all, 4);
    Collections.shuffle(all, new Random(7));
    assertThat(SchedulerRanking.rank("s", all, 4)).isEqualTo(ranked);
  }

  @Test
  void shouldRankNobodyWhenNoHostIsKnown() {
    assertThat(SchedulerRanking.rank("s", List.of(), 4)).isEmpty();
  }
}
