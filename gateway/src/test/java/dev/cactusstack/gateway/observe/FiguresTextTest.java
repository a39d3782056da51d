package dev.cactusstack.gateway.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FiguresTextTest {
  private final Figures figures = new Figures();

  private String text() {
    return new String(FiguresText.of(figures), StandardCharsets.UTF_8);
  }

  @Test
  void shouldWriteCountersAndHistogramsOfEachRoute() {
    RouteFigures r = figures.route("search");
    r.answered(90);
    r.answered(7_000);
    r.sent(3);
    r.attemptEnded("answered");
    r.refused("no-room");
    r.repeat(false);
    figures.total("cactusstack_store_calls", "Calls of the store", () -> 12);
    assertThat(text())
        .contains("cactusstack_request_seconds_bucket{route=\"search\",le=\"0.1\"} 1")
        .contains("cactusstack_request_seconds_bucket{route=\"search\",le=\"+Inf\"} 2")
        .contains("cactusstack_request_seconds_sum{route=\"search\"} 7.09")
        .contains("cactusstack_queue_seconds_count{route=\"search\"} 1")
        .contains("cactusstack_attempts_total{end=\"answered\",route=\"search\"} 1.0")
        .contains("cactusstack_refusals_total{route=\"search\",why=\"no-room\"} 1.0")
        .contains("cactusstack_repeats_total{budget=\"denied\",route=\"search\"} 1.0")
        .contains("cactusstack_store_calls_total 12.0");
  }

  @Test
  void shouldCountRoutesTogetherWhenThereAreTooMany() {
    for (int i = 0; i < Figures.MOST_ROUTES + 50; i++) {
      figures.route("r" + i).answered(1);
    }
    assertThat(figures.routes()).hasSize(Figures.MOST_ROUTES + 1);
    assertThat(text()).contains("cactusstack_request_seconds_count{route=\"other\"} 50");
  }
}
