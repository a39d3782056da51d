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
 * Writes figures in the Prometheus text format. Only this class uses the metrics library, so that a
 * host that nobody asks for metrics does not load it. Stateless.
 */
public final class PrometheusFormat {
  /** The media type of the text. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final double MS_PER_SECOND = 1_000;

  private PrometheusFormat() {}

  /**
   * Writes figures.
   *
   * @param f the figures
   * @return the text as UTF-8
   */
  public static byte[] format(GatewayMetrics f) {
    List<MetricSnapshot> metrics = new ArrayList<>();
    metrics.add(
        histogram(
            f,
            "cactusstack_request_seconds",
            "From a request's arrival to an upstream's whole answer",
            RouteMetrics::recordAnsweredRequest));
    metrics.add(
        histogram(
            f,
            "cactusstack_queue_seconds",
            "From a request's arrival until an attempt is sent",
            RouteMetrics::waited));
    metrics.add(
        counter(
            f,
            "cactusstack_attempts",
            "Attempts by how they ended",
            "end",
            RouteMetrics::attempts));
    metrics.add(
        counter(
            f,
            "cactusstack_refusals",
            "Requests without an upstream's answer, by reason",
            "why",
            RouteMetrics::refusals));
    metrics.add(
        counter(
            f,
            "cactusstack_repeats",
            "Requests that wanted to be sent once more, by whether the budget allowed it",
            "budget",
            RouteMetrics::repeats));
    f.counters()
        .forEach(
            (name, t) ->
                metrics.add(
                    CounterSnapshot.builder()
                        .name(name)
                        .help(t.help())
                        .dataPoint(point(Labels.EMPTY, t.value().getAsLong()))
                        .build()));
    return text(metrics);
  }

  private static byte[] text(List<MetricSnapshot> metrics) {
    var out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, new MetricSnapshots(metrics));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }

  private static MetricSnapshot histogram(
      GatewayMetrics f, String name, String help, Function<RouteMetrics, LatencyHistogram> which) {
    var metric = HistogramSnapshot.builder().name(name).help(help);
    f.routes()
        .forEach(
            (route, figures) -> {
              LatencyHistogram c = which.apply(figures);
              metric.dataPoint(
                  HistogramSnapshot.HistogramDataPointSnapshot.builder()
                      .classicHistogramBuckets(buckets(c))
                      .sum(c.sumMs() / MS_PER_SECOND)
                      .labels(Labels.of("route", route))
                      .build());
            });
    return metric.build();
  }

  private static ClassicHistogramBuckets buckets(LatencyHistogram c) {
    var buckets = ClassicHistogramBuckets.builder();
    for (int i = 0; i < LatencyHistogram.BOUNDS_MS.size(); i++) {
      buckets.bucket(LatencyHistogram.BOUNDS_MS.get(i) / MS_PER_SECOND, c.count(i));
    }
    buckets.bucket(Double.POSITIVE_INFINITY, c.count(LatencyHistogram.BOUNDS_MS.size()));
    return buckets.build();
  }

  private static MetricSnapshot counter(
      GatewayMetrics f,
      String name,
      String help,
      String label,
      Function<RouteMetrics, Map<String, Long>> which) {
    var metric = CounterSnapshot.builder().name(name).help(help);
    f.routes()
        .forEach(
            (route, figures) ->
                which
                    .apply(figures)
                    .forEach(
                        (word, n) ->
                            metric.dataPoint(point(Labels.of("route", route, label, word), n))));
    return metric.build();
  }

  private static CounterSnapshot.CounterDataPointSnapshot point(Labels labels, long value) {
    return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
  }
}
