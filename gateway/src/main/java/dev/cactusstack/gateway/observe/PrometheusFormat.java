package dev.cactusstack.gateway.observe;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Formats metrics in the Prometheus text format. Only this class uses the metrics library, so a
 * host whose metrics are never requested does not load it. Stateless.
 */
public final class PrometheusFormat {
  /** The media type of the text. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final double MS_PER_SECOND = 1_000;

  private PrometheusFormat() {}

  /**
   * Formats metrics.
   *
   * @param gatewayMetrics the metrics
   * @return the text as UTF-8
   */
  public static byte[] format(GatewayMetrics gatewayMetrics) {
    List<MetricSnapshot> metrics = new ArrayList<>();
    metrics.add(
        histogram(
            gatewayMetrics,
            "cactusstack_request_seconds",
            "Time from a request's arrival to the complete response of an upstream",
            RouteMetrics::requestLatency));
    metrics.add(
        histogram(
            gatewayMetrics,
            "cactusstack_queue_seconds",
            "Time from a request's arrival until an attempt is sent",
            RouteMetrics::queueLatency));
    metrics.add(
        counter(
            gatewayMetrics,
            "cactusstack_attempts",
            "Attempts by outcome",
            "end",
            RouteMetrics::attemptsByOutcome));
    metrics.add(
        counter(
            gatewayMetrics,
            "cactusstack_refusals",
            "Requests without an upstream's response, by reason",
            "why",
            RouteMetrics::refusalsByReason));
    metrics.add(
        counter(
            gatewayMetrics,
            "cactusstack_repeats",
            "Retries and hedges by whether the retry budget allowed them",
            "budget",
            RouteMetrics::retriesByDecision));
    metrics.add(
        counter(
            gatewayMetrics,
            "cactusstack_hedges",
            "Hedges sent, won, cancelled, and refused by the limit on hedges",
            "event",
            RouteMetrics::hedgesByEvent));
    metrics.add(workspaceRequests(gatewayMetrics.workspaces()));
    metrics.add(workspaceOutcomes(gatewayMetrics.workspaces()));
    gatewayMetrics
        .counters()
        .forEach(
            (name, total) ->
                metrics.add(
                    CounterSnapshot.builder()
                        .name(name)
                        .help(total.help())
                        .dataPoint(point(Labels.EMPTY, total.value().getAsLong()))
                        .build()));
    return encode(metrics);
  }

  private static byte[] encode(List<MetricSnapshot> metrics) {
    var out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, new MetricSnapshots(metrics));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }

  private static MetricSnapshot histogram(
      GatewayMetrics gatewayMetrics,
      String name,
      String help,
      Function<RouteMetrics, LatencyHistogram> selector) {
    var metric = HistogramSnapshot.builder().name(name).help(help);
    gatewayMetrics
        .routes()
        .forEach(
            (route, routeMetrics) -> {
              LatencyHistogram latencies = selector.apply(routeMetrics);
              metric.dataPoint(
                  HistogramSnapshot.HistogramDataPointSnapshot.builder()
                      .classicHistogramBuckets(buckets(latencies))
                      .sum(latencies.sumMs() / MS_PER_SECOND)
                      .labels(Labels.of("route", route))
                      .build());
            });
    return metric.build();
  }

  private static ClassicHistogramBuckets buckets(LatencyHistogram latencies) {
    var buckets = ClassicHistogramBuckets.builder();
    for (int i = 0; i < LatencyHistogram.BOUNDS_MS.size(); i++) {
      buckets.bucket(LatencyHistogram.BOUNDS_MS.get(i) / MS_PER_SECOND, latencies.count(i));
    }
    buckets.bucket(Double.POSITIVE_INFINITY, latencies.count(LatencyHistogram.BOUNDS_MS.size()));
    return buckets.build();
  }

  private static MetricSnapshot counter(
      GatewayMetrics gatewayMetrics,
      String name,
      String help,
      String label,
      Function<RouteMetrics, Map<String, Long>> selector) {
    var metric = CounterSnapshot.builder().name(name).help(help);
    gatewayMetrics
        .routes()
        .forEach(
            (route, routeMetrics) ->
                selector
                    .apply(routeMetrics)
                    .forEach(
                        (labelValue, sampleCount) ->
                            metric.dataPoint(
                                point(Labels.of("route", route, label, labelValue), sampleCount))));
    return metric.build();
  }

  private static MetricSnapshot workspaceRequests(WorkspaceMetrics workspaces) {
    var metric =
        CounterSnapshot.builder()
            .name("cactusstack_workspace_requests")
            .help("Requests by workspace");
    workspaces
        .byLabel()
        .forEach(
            (name, counts) ->
                metric.dataPoint(point(Labels.of("workspace", name), counts.requests())));
    return metric.build();
  }

  private static MetricSnapshot workspaceOutcomes(WorkspaceMetrics workspaces) {
    var metric =
        CounterSnapshot.builder()
            .name("cactusstack_workspace_outcomes")
            .help("Ended requests by workspace and outcome");
    workspaces
        .byLabel()
        .forEach(
            (name, counts) ->
                counts
                    .outcomes()
                    .forEach(
                        (outcome, count) ->
                            metric.dataPoint(
                                point(Labels.of("workspace", name, "outcome", outcome), count))));
    return metric.build();
  }

  private static CounterSnapshot.CounterDataPointSnapshot point(Labels labels, long value) {
    return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
  }
}
