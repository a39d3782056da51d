package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.FreePorts;
import dev.cactusstack.embedded.StandInEnvironment;
import dev.cactusstack.http.XnioWorkers;
import dev.cactusstack.standin.Deployment;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.XnioWorker;

/**
 * Measures the overhead of one entry host: latency at a constant rate, and CPU time for each call
 * compared with an empty Undertow handler in the same process and run.
 *
 * <p>The CPU time of each server is that of its threads, which are identified by name.
 */
final class HostOverheadScenario implements Scenario {
  private static final int REQUESTS_PER_SECOND = 2_000;
  private static final int WARM_UP_SECONDS = 6;
  private static final int CONCURRENT_CALLERS = 32;
  private static final long TIMEOUT_MS = 10_000;
  private static final long READY_TIMEOUT_MS = 20_000;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (StandInEnvironment standIns =
            StandInEnvironment.startModified(
                Deployment.QAZYNA, StandInEnvironment.FAST_UPSTREAMS, o.seed());
        var client = new LoadClient(3, TIMEOUT_MS);
        var hosts =
            EmbeddedHosts.start(
                standIns, 1, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), "")) {
      if (!hosts.awaitReady(READY_TIMEOUT_MS)) {
        throw new IllegalStateException("the entry host is not ready");
      }
      String host = hosts.hosts().get(0).callerAddress().toString();
      String directAddress = standIns.upstreams().get(0).address();
      measureLatency(client, host, WARM_UP_SECONDS);
      measureLatency(client, directAddress, WARM_UP_SECONDS);
      LoadPhase hostPhase = measureLatency(client, host, o.seconds());
      LoadPhase directPhase = measureLatency(client, directAddress, o.seconds());
      Undertow empty = emptyServer();
      String emptyAddress =
          "127.0.0.1:"
              + ((java.net.InetSocketAddress) empty.getListenerInfo().get(0).getAddress())
                  .getPort();
      measureCallsPerCore(client, host, WARM_UP_SECONDS, "XNIO-");
      double hostPerCore = measureCallsPerCore(client, host, o.seconds(), "XNIO-");
      measureCallsPerCore(client, emptyAddress, WARM_UP_SECONDS, "empty");
      double emptyPerCore = measureCallsPerCore(client, emptyAddress, o.seconds(), "empty");
      empty.stop();
      return ResultLine.of("speed", o)
          .with("direct_p99_ms", directPhase.latencyMs(99))
          .with("added_p50_ms", hostPhase.latencyMs(50) - directPhase.latencyMs(50))
          .with("added_p99_ms", hostPhase.latencyMs(99) - directPhase.latencyMs(99))
          .with("added_p999_ms", hostPhase.latencyMs(99.9) - directPhase.latencyMs(99.9))
          .with("host_calls_per_core_s", hostPerCore)
          .with("empty_calls_per_core_s", emptyPerCore)
          .with("per_core_vs_empty", hostPerCore / emptyPerCore)
          .with("failed", hostPhase.failed());
    }
  }

  /** Returns the number of calls through one host for each second of its CPU time. */
  static double hostCallsPerCore(BenchOptions o) throws Exception {
    try (StandInEnvironment standIns =
            StandInEnvironment.startModified(
                Deployment.QAZYNA, StandInEnvironment.FAST_UPSTREAMS, o.seed());
        var client = new LoadClient(3, TIMEOUT_MS);
        var hosts =
            EmbeddedHosts.start(
                standIns, 1, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), "")) {
      if (!hosts.awaitReady(READY_TIMEOUT_MS)) {
        throw new IllegalStateException("the entry host is not ready");
      }
      String host = hosts.hosts().get(0).callerAddress().toString();
      measureCallsPerCore(client, host, WARM_UP_SECONDS, "XNIO-");
      return measureCallsPerCore(client, host, o.seconds(), "XNIO-");
    }
  }

  private static Undertow emptyServer() {
    XnioWorker worker = XnioWorkers.createDaemonWorker("empty", 2);
    Undertow u =
        Undertow.builder()
            .addHttpListener(FreePorts.next(), "127.0.0.1")
            .setWorker(worker)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(x -> x.getResponseSender().send("{\"empty\":true}"))
            .build();
    u.start();
    return u;
  }

  private static LoadPhase measureLatency(LoadClient client, String address, int seconds)
      throws InterruptedException {
    var plan = new ArrayList<Arrival>();
    for (int i = 0; i < REQUESTS_PER_SECOND * seconds; i++) {
      plan.add(new Arrival(i * (TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND), "search", i));
    }
    RequestPolicy policy =
        (a, done) -> client.send(LoadClient.Call.get(address, a.service(), "/"), done);
    var phase = new LoadPhase();
    phase.execute(List.copyOf(plan), 0, policy, (a, r) -> {});
    return phase;
  }

  /**
   * Returns the number of calls for each second of CPU time of the threads with the given prefix.
   */
  private static double measureCallsPerCore(
      LoadClient client, String address, int seconds, String threadPrefix)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    long cpuNanosBefore = cpuNanos(threadPrefix);
    var calls = new AtomicLong();
    var activeCallers = new CountDownLatch(CONCURRENT_CALLERS);
    for (int i = 0; i < CONCURRENT_CALLERS; i++) {
      callRepeatedly(client, address, endNanos, calls, activeCallers);
    }
    activeCallers.await(seconds + 30L, TimeUnit.SECONDS);
    double cpuSeconds = (cpuNanos(threadPrefix) - cpuNanosBefore) / 1e9;
    System.out.println(
        "loop address=" + address + " calls=" + calls + " busy_cores=" + cpuSeconds / seconds);
    return calls.get() / cpuSeconds;
  }

  private static void callRepeatedly(
      LoadClient client,
      String address,
      long endNanos,
      AtomicLong calls,
      CountDownLatch activeCallers) {
    if (System.nanoTime() >= endNanos) {
      activeCallers.countDown();
      return;
    }
    client.send(
        LoadClient.Call.get(address, "search", "/"),
        r -> {
          calls.incrementAndGet();
          callRepeatedly(client, address, endNanos, calls, activeCallers);
        });
  }

  private static long cpuNanos(String name) {
    var beans = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : beans.getAllThreadIds()) {
      var info = beans.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith(name)) {
        sum += Math.max(0, beans.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
