package dev.cactusstack.bench;

import dev.cactusstack.http.Json;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Executes planned arrivals as an open loop: each request is sent at its due time regardless of
 * outstanding requests, and its latency is measured from the due time. The results are thread-safe.
 */
final class LoadPhase {
  private static final long MAX_LATENCY_MICROS = 120_000_000L;
  private static final long SPIN_THRESHOLD_NANOS = 60_000;

  private final Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  private final Histogram addedLatency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  private final AtomicLong failed = new AtomicLong();
  private final AtomicLong completed = new AtomicLong();
  private final Map<String, AtomicLong> failuresByKind = new ConcurrentSkipListMap<>();

  /** Executes the plan; requests due before {@code warmUpNanos} are sent but not counted. */
  void execute(
      List<Arrival> plan,
      long warmUpNanos,
      RequestPolicy policy,
      BiConsumer<Arrival, CallResult> observer)
      throws InterruptedException {
    var remaining = new CountDownLatch(plan.size());
    long start = System.nanoTime();
    for (Arrival a : plan) {
      awaitDueTime(start + a.dueAfterNanos());
      policy.send(
          a,
          r -> {
            if (a.dueAfterNanos() >= warmUpNanos) {
              record(r, System.nanoTime() - start - a.dueAfterNanos());
            }
            observer.accept(a, r);
            remaining.countDown();
          });
    }
    remaining.await(60, TimeUnit.SECONDS);
  }

  private static void awaitDueTime(long dueNanos) {
    for (long remainingNanos = dueNanos - System.nanoTime();
        remainingNanos > 0;
        remainingNanos = dueNanos - System.nanoTime()) {
      if (remainingNanos > SPIN_THRESHOLD_NANOS) {
        LockSupport.parkNanos(remainingNanos - SPIN_THRESHOLD_NANOS);
      } else {
        Thread.onSpinWait();
      }
    }
  }

  private void record(CallResult r, long nanos) {
    long micros = Math.min(MAX_LATENCY_MICROS, Math.max(1, nanos / 1_000));
    completed.incrementAndGet();
    latency.recordValue(micros);
    if (r.isOk()) {
      addedLatency.recordValue(Math.max(0, micros - Math.round(r.upstreamMs() * 1_000)));
    } else {
      failed.incrementAndGet();
      failuresByKind.computeIfAbsent(kindOf(r), k -> new AtomicLong()).incrementAndGet();
    }
  }

  private static String kindOf(CallResult r) {
    return r.status() == 0
        ? "no-answer"
        : Json.parse(r.body())
            .map(
                n ->
                    n.path("kind").asText()
                        + ":"
                        + n.path("title").asText().replaceAll("[0-9.:]+", "#"))
            .orElse("status-" + r.status());
  }

  double latencyMs(double percentile) {
    return latency.getValueAtPercentile(percentile) / 1e3;
  }

  double addedMs(double percentile) {
    return addedLatency.getValueAtPercentile(percentile) / 1e3;
  }

  long failed() {
    return failed.get();
  }

  long completed() {
    return completed.get();
  }

  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT,
        "completed=%d failed=%d failures=%s p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f",
        completed(),
        failed(),
        failuresByKind,
        latencyMs(50),
        latencyMs(99),
        latencyMs(99.9));
  }
}
