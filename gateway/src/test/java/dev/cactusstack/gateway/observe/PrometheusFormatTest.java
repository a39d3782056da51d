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

  @Test
  void shouldCountRequestsByWorkspaceAndOutcome() {
    WorkspaceMetrics workspaces = metrics.workspaces();
    workspaces.recordRequest("acme");
    workspaces.recordRequest("acme");
    workspaces.recordOutcome("acme", WorkspaceMetrics.ANSWERED);
    workspaces.recordOutcome("acme", "no-room");
    workspaces.recordRequest(WorkspaceMetrics.NO_WORKSPACE);
    workspaces.recordOutcome(WorkspaceMetrics.NO_WORKSPACE, "unauthorized");
    assertThat(text())
        .contains("cactusstack_workspace_requests_total{workspace=\"acme\"} 2.0")
        .contains(
            "cactusstack_workspace_outcomes_total{outcome=\"answered\",workspace=\"acme\"} 1.0")
        .contains(
            "cactusstack_workspace_outcomes_total{outcome=\"no-room\",workspace=\"acme\"} 1.0")
        .contains(
            "cactusstack_workspace_outcomes_total{outcome=\"unauthorized\",workspace=\"\"} 1.0");
  }

  /**
   * Guards against a metric that grows with the number of workspaces, of which there may be 10,000.
   */
  @Test
  void shouldCountFurtherWorkspacesTogetherWhenThereAreTooMany() {
    WorkspaceMetrics workspaces = metrics.workspaces();
    workspaces.recordRequest(WorkspaceMetrics.NO_WORKSPACE);
    for (int i = 0; i < WorkspaceMetrics.MAX_WORKSPACES + 50; i++) {
      workspaces.recordRequest("w" + i);
      workspaces.recordOutcome("w" + i, WorkspaceMetrics.ANSWERED);
    }
    assertThat(workspaces.byLabel()).hasSize(WorkspaceMetrics.MAX_WORKSPACES + 2);
    assertThat(text())
        .contains("cactusstack_workspace_requests_total{workspace=\"w99\"} 1.0")
        .contains("cactusstack_workspace_requests_total{workspace=\"other\"} 50.0")
        .contains(
            "cactusstack_workspace_outcomes_total{outcome=\"answered\",workspace=\"other\"} 50.0");
  }
}
