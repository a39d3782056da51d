package dev.cactusstack.gateway.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class PrometheusFormatTest {
  private final GatewayMetrics figures = new GatewayMetrics();

  private String text() {
    return new String(PrometheusFormat.format(figures), StandardCharsets.UTF_8);
  }

  @Test
  void shouldWriteCountersAndHistogramsOfEachRoute() {
    RouteMetrics r = figures.route("search");
    r.recordAnsweredRequest(90);
    r.recordAnsweredRequest(7_000);
    r.recordSentAttempt(3);
    r.recordAttemptOutcome("answered");
    r.recordRefusal("no-room");
    r.recordRetryDecision(false);
    figures.registerCounter("cactusstack_store_calls", "Calls of the store", () -> 12);
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
    for (int i = 0; i < GatewayMetrics.MAX_ROUTES + 50; i++) {
      figures.route("r" + i).recordAnsweredRequest(1);
    }
    assertThat(figures.routes()).hasSize(GatewayMetrics.MAX_ROUTES + 1);
    assertThat(text()).contains("cactusstack_request_seconds_count{route=\"other\"} 50");
  }
}
