package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.FreePorts;
import dev.cactusstack.embedded.Site;
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
 * What one entry host adds: time at a steady rate, and processor time for each call, against an
 * empty Undertow handler that runs in the same kind of process and the same run.
 *
 * <p>The processor time of a side is that of its own threads, told apart by their names.
 */
final class SpeedScenario implements Scenario {
  private static final int STEADY_PER_SECOND = 2_000;
  private static final int WARM_UP_SECONDS = 6;
  private static final int CALLERS_IN_LOOP = 32;
  private static final long TIMEOUT_MS = 10_000;
  private static final long READY_MS = 20_000;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (Site site = Site.startWith(Deployment.QAZYNA, Site.QUICK, o.seed());
        var client = new LoadClient(3, TIMEOUT_MS);
        var hosts =
            EmbeddedHosts.start(
                site, 1, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), "")) {
      if (!hosts.awaitReady(READY_MS)) {
        throw new IllegalStateException("the entry host is not ready");
      }
      String host = hosts.hosts().get(0).callerAddress().toString();
      String direct = site.upstreams().get(0).address();
      steady(client, host, WARM_UP_SECONDS);
      steady(client, direct, WARM_UP_SECONDS);
      Phase throughHost = steady(client, host, o.seconds());
      Phase straight = steady(client, direct, o.seconds());
      Undertow empty = emptyServer();
      String emptyAddress =
          "127.0.0.1:"
              + ((java.net.InetSocketAddress) empty.getListenerInfo().get(0).getAddress())
                  .getPort();
      loop(client, host, WARM_UP_SECONDS, "XNIO-");
      double hostPerCore = loop(client, host, o.seconds(), "XNIO-");
      loop(client, emptyAddress, WARM_UP_SECONDS, "empty");
      double emptyPerCore = loop(client, emptyAddress, o.seconds(), "empty");
      empty.stop();
      return ResultLine.of("speed", o)
          .with("direct_p99_ms", straight.latencyMs(99))
          .with("added_p50_ms", throughHost.latencyMs(50) - straight.latencyMs(50))
          .with("added_p99_ms", throughHost.latencyMs(99) - straight.latencyMs(99))
          .with("added_p999_ms", throughHost.latencyMs(99.9) - straight.latencyMs(99.9))
          .with("host_calls_per_core_s", hostPerCore)
          .with("empty_calls_per_core_s", emptyPerCore)
          .with("per_core_vs_empty", hostPerCore / emptyPerCore)
          .with("failed", throughHost.failed());
    }
  }

  /** Calls through one host for each second of its processor time. */
  static double hostCallsPerCore(BenchOptions o) throws Exception {
    try (Site site = Site.startWith(Deployment.QAZYNA, Site.QUICK, o.seed());
        var client = new LoadClient(3, TIMEOUT_MS);
        var hosts =
            EmbeddedHosts.start(
                site, 1, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), "")) {
      if (!hosts.awaitReady(READY_MS)) {
        throw new IllegalStateException("the entry host is not ready");
      }
      String host = hosts.hosts().get(0).callerAddress().toString();
      loop(client, host, WARM_UP_SECONDS, "XNIO-");
      return loop(client, host, o.seconds(), "XNIO-");
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

  private static Phase steady(LoadClient client, String address, int seconds)
      throws InterruptedException {
    var plan = new ArrayList<Arrival>();
    for (int i = 0; i < STEADY_PER_SECOND * seconds; i++) {
      plan.add(new Arrival(i * (TimeUnit.SECONDS.toNanos(1) / STEADY_PER_SECOND), "search", i));
    }
    Policy policy = (a, done) -> client.send(LoadClient.Call.get(address, a.service(), "/"), done);
    var phase = new Phase();
    phase.play(List.copyOf(plan), 0, policy, (a, r) -> {});
    return phase;
  }

  /** Calls for each second of processor time of the threads with the given name. */
  private static double loop(LoadClient client, String address, int seconds, String threads)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    long before = cpuNanos(threads);
    var calls = new AtomicLong();
    var left = new CountDownLatch(CALLERS_IN_LOOP);
    for (int i = 0; i < CALLERS_IN_LOOP; i++) {
      again(client, address, end, calls, left);
    }
    left.await(seconds + 30L, TimeUnit.SECONDS);
    double cores = (cpuNanos(threads) - before) / 1e9;
    System.out.println(
        "loop address=" + address + " calls=" + calls + " busy_cores=" + cores / seconds);
    return calls.get() / cores;
  }

  private static void again(
      LoadClient client, String address, long end, AtomicLong calls, CountDownLatch left) {
    if (System.nanoTime() >= end) {
      left.countDown();
      return;
    }
    client.send(
        LoadClient.Call.get(address, "search", "/"),
        r -> {
          calls.incrementAndGet();
          again(client, address, end, calls, left);
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
