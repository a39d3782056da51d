package dev.cactusstack.decisions.matching;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.site.RequestKind;
import dev.cactusstack.model.site.RouteRule;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RouteMatcherTest {
  private static RouteRule route(String name, String host, String prefix, RouteRule.WeightedService... parts) {
    List<RouteRule.WeightedService> list =
        parts.length == 0 ? List.of(new RouteRule.WeightedService("s", 1)) : List.of(parts);
    return new RouteRule(name, host, prefix, RequestKind.IDEMPOTENT, 1_000, 300, 1, 2, list);
  }

  private final RouteMatcher table =
      new RouteMatcher(
          List.of(
              route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/"),
              route("other", "b.example", "/x/")));

  private String match(String host, String target) {
    return table.match(host, target).map(RouteRule::name).orElse("none");
  }

  @Test
  void shouldTakeTheLongestPrefixWhenSeveralBeginThePath() {
    assertThat(match("a.example", "/x/y/z")).isEqualTo("long");
    assertThat(match("a.example", "/x/yz")).isEqualTo("short");
  }

  @Test
  void shouldIgnorePortAndCaseWhenTheHostIsCompared() {
    assertThat(match("A.Example:8080", "/x/1")).isEqualTo("short");
  }

  @Test
  void shouldIgnoreTheQueryWhenThePathIsCompared() {
    assertThat(match("a.example", "/x?/y/")).isEqualTo("none");
    assertThat(match("b.example", "/x/q?a=/x/y/")).isEqualTo("other");
  }

  @Test
  void shouldFindNothingWhenNoPrefixBeginsThePath() {
    assertThat(match("a.example", "/z/x/")).isEqualTo("none");
    assertThat(match("c.example", "/x/")).isEqualTo("none");
  }

  @Test
  void shouldKeepEachShareWithinOneRequestWhenARouteIsSplit() {
    var parts = new WeightedRoundRobin();
    RouteRule r = route("r", "h", "/", new RouteRule.WeightedService("a", 70), new RouteRule.WeightedService("b", 30));
    Map<String, Integer> counts = new TreeMap<>();
    for (int n = 1; n <= 200; n++) {
      counts.merge(parts.next(r), 1, Integer::sum);
      assertThat(Math.abs(counts.getOrDefault("a", 0) - n * 0.7)).isLessThanOrEqualTo(1.0);
    }
    assertThat(counts).containsEntry("a", 140).containsEntry("b", 60);
  }

  @Test
  void shouldStartTheSharesAnewWhenTheWeightsChange() {
    var parts = new WeightedRoundRobin();
    RouteRule before =
        route("r", "h", "/", new RouteRule.WeightedService("a", 99), new RouteRule.WeightedService("b", 1));
    for (int n = 0; n < 50; n++) {
      parts.next(before);
    }
    RouteRule after = route("r", "h", "/", new RouteRule.WeightedService("b", 1));
    assertThat(parts.next(after)).isEqualTo("b");
  }
}
