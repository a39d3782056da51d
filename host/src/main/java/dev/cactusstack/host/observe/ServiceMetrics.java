package dev.cactusstack.host.observe;

import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.ServiceName;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The histograms and counters of one service. Thread-safe. */
public final class ServiceMetrics {
  private static final Duration[] HISTOGRAM_BOUNDS = {
    Duration.ofNanos(100_000),
    Duration.ofNanos(200_000),
    Duration.ofNanos(500_000),
    Duration.ofNanos(1_000_000),
    Duration.ofNanos(1_300_000),
    Duration.ofNanos(2_000_000),
    Duration.ofMillis(5),
    Duration.ofMillis(10),
    Duration.ofMillis(20),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofSeconds(2),
    Duration.ofSeconds(5),
    Duration.ofSeconds(30)
  };

  private final MeterRegistry registry;
  private final String service;
  private final Timer total;
  private final Timer added;
  private final Counter attempts;
  private final Map<ProblemKind, Counter> problemCounters = new ConcurrentHashMap<>();

  ServiceMetrics(MeterRegistry registry, ServiceName service) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
    this.service = service.value();
    this.total =
        timer("cactusstack.request.total", "Time from a request's arrival to its whole answer");
    this.added = timer("cactusstack.request.added", "Time added by this host to a request");
    this.attempts =
        Counter.builder("cactusstack.attempts")
            .description("Attempts to run a request")
            .tag("service", this.service)
            .register(registry);
  }

  private Timer timer(String name, String description) {
    return Timer.builder(name)
        .description(description)
        .tag("service", service)
        .serviceLevelObjectives(HISTOGRAM_BOUNDS)
        .register(registry);
  }

  /**
   * Records a request that was answered.
   *
   * @param totalNanos from its arrival to its whole answer
   * @param addedNanos the part spent in this host
   */
  public void recordRequest(long totalNanos, long addedNanos) {
    total.record(totalNanos, TimeUnit.NANOSECONDS);
    added.record(Math.max(0, addedNanos), TimeUnit.NANOSECONDS);
  }

  /** Records an attempt. */
  public void recordAttempt() {
    attempts.increment();
  }

  /**
   * Records an answer that the system made itself.
   *
   * @param kind why
   */
  public void recordProblem(ProblemKind kind) {
    problemCounters
        .computeIfAbsent(
            kind,
            k ->
                Counter.builder("cactusstack.refusals")
                    .description("Requests answered by the system itself")
                    .tag("service", service)
                    .tag("kind", k.label())
                    .register(registry))
        .increment();
  }
}
