package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Shuts down two hosts and an upstream gracefully under load. */
final class ShutdownScenario implements Scenario {
  private static final double UTILIZATION = 0.5;
  private static final int WARM_UP_SECONDS = 3;
  private static final long SHUTDOWN_DELAY_MS = 1_000;
  private static final int MIN_SECONDS = 10;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var cluster = new BenchCluster(o, "")) {
      cluster.runLoad(o, UTILIZATION, WARM_UP_SECONDS, o.seed());
      var inFlight = new AtomicLong();
      BackgroundTask<Integer> leaving =
          BackgroundTask.start("leave", () -> shutDownTwoHosts(cluster, inFlight));
      BackgroundTask<Double> upstreamDrain =
          BackgroundTask.start("upstream", () -> measureUpstreamDrain(cluster));
      LoadPhase phase =
          cluster.runLoad(o, UTILIZATION, Math.max(MIN_SECONDS, o.seconds()), o.seed() + 1);
      System.out.println("load " + phase);
      int cutOff = leaving.join();
      return ResultLine.of("shutdown", o)
          .with("in_flight", inFlight.get())
          .with("cut_off", cutOff + phase.failed())
          .with("new_work_after_leaving_s", upstreamDrain.join())
          .with("requests", phase.completed());
    }
  }

  private static int shutDownTwoHosts(BenchCluster cluster, AtomicLong inFlight)
      throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(SHUTDOWN_DELAY_MS);
    int cutOff = 0;
    BackgroundTask<Integer> first = startShutdown(cluster.hosts().get(1), inFlight);
    BackgroundTask<Integer> second = startShutdown(cluster.hosts().get(2), inFlight);
    cutOff += first.join();
    cutOff += second.join();
    return cutOff;
  }

  private static BackgroundTask<Integer> startShutdown(EntryHost h, AtomicLong inFlight) {
    inFlight.addAndGet(h.inFlight());
    return BackgroundTask.start("leave-one", h::shutDownGracefully);
  }

  /** Returns the seconds from listing an upstream as leaving to its last received request. */
  private static double measureUpstreamDrain(BenchCluster cluster) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(SHUTDOWN_DELAY_MS);
    UpstreamStandIn u = cluster.standIns.upstreams().get(0);
    cluster.standIns.registerUpstream(u, true);
    return LastRequestWatch.secondsUntilLastRequest(java.util.List.of(u));
  }
}
