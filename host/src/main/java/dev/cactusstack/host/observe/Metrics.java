package dev.cactusstack.host.observe;

import dev.cactusstack.model.ServiceName;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;

/** All metrics of a host, in Prometheus form. Thread-safe. */
public final class Metrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<ServiceName, ServiceMetrics> services = new ConcurrentHashMap<>();

  /**
   * Returns the metrics of a service.
   *
   * @param service the service
   * @return its metrics, created at the first call
   */
  public ServiceMetrics forService(ServiceName service) {
    return services.computeIfAbsent(service, s -> new ServiceMetrics(registry, s));
  }

  /**
   * Exposes a number that is read when metrics are scraped.
   *
   * @param name the metric's name, with dots
   * @param description what it counts, with its unit
   * @param source the object that the number is read from
   * @param read reads it
   * @param <T> the type of the source
   */
  public <T> void gauge(String name, String description, T source, ToDoubleFunction<T> read) {
    io.micrometer.core.instrument.Gauge.builder(name, source, read)
        .description(description)
        .strongReference(true)
        .register(registry);
  }

  /**
   * Renders all metrics.
   *
   * @return text in the Prometheus exposition format
   */
  public String scrape() {
    return registry.scrape();
  }
}
