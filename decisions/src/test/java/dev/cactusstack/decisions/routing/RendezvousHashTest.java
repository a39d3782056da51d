package dev.cactusstack.decisions.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
  private static final List<String> HOSTS =
      IntStream.range(0, 16).mapToObj(i -> "host-" + i).toList();

  @Test
  void shouldMoveOnlyWhatItHeldWhenAHostLeaves() {
    var fewer = new ArrayList<>(HOSTS);
    fewer.remove("host-3");
    for (int i = 0; i < 1_500; i++) {
      String key = "service-" + i + "/almaty-1";
      String before = RendezvousHash.first(key, HOSTS).orElseThrow();
      if (!before.equals("host-3")) {
        assertThat(RendezvousHash.first(key, fewer)).contains(before);
      }
    }
  }

  @Test
  void shouldSpreadRoutesEvenlyWhenThereAreMany() {
    Map<String, Integer> count = new HashMap<>();
    for (int i = 0; i < 6_000; i++) {
      count.merge(RendezvousHash.first("service-" + i, HOSTS).orElseThrow(), 1, Integer::sum);
    }
    assertThat(count.values()).allSatisfy(n -> assertThat(n).isBetween(280, 480));
  }

  @Test
  void shouldFindNothingWhenThereAreNoCandidates() {
    assertThat(RendezvousHash.first("search", List.of())).isEmpty();
  }
}
