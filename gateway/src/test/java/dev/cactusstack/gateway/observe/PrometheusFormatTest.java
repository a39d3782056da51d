package dev.cactusstack.gateway.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class PrometheusFormatTest {
  private final GatewayMetrics metrics = new GatewayMetrics();

  private String text() {
    return new String(PrometheusFormat.format(metrics), StandardCharsets.UTF_8);
  }

  @Test
  void shouldWriteCountersAndHistogramsWhenARouteHasTraffic() {
    RouteMetrics routeMetrics = metrics.route("search");
    routeMetrics.recordAnsweredRequest(90);
    routeMetrics.recordAnsweredRequest(7_000);
    routeMetrics.recordSentAttempt(3);
    routeMetrics.recordAttemptOutcome("answered");
    routeMetrics.recordRefusal("no-room");
    routeMetrics.recordRetryDecision(false);
    metrics.registerCounter("cactusstack_store_calls", "Calls of the store", () -> 12);
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
  void shouldCountFurtherRoutesTogetherWhenThereAreTooMany() {
    for (int i = 0; i < GatewayMetrics.MAX_ROUTES + 50; i++) {
      metrics.route("r" + i).recordAnsweredRequest(1);
    }
    assertThat(metrics.routes()).hasSize(GatewayMetrics.MAX_ROUTES + 1);
    assertThat(text()).contains("cactusstack_request_seconds_count{route=\"other\"} 50");
  }
}
