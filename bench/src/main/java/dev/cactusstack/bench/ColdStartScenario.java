package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Makes one upstream after another cold, without announcing it, under constant load. */
final class ColdStartScenario implements Scenario {
  private static final double UTILIZATION = 0.5;
  private static final int WARM_UP_SECONDS = 3;
  private static final long INTERVAL_MS = 500;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var cluster = new BenchCluster(o, "")) {
      cluster.runLoad(o, UTILIZATION, WARM_UP_SECONDS, o.seed());
      var random = new Random(o.seed());
      BackgroundTask<Integer> coldPeak =
          BackgroundTask.start("cold", () -> measureColdPeak(cluster, random, o.seconds()));
      LoadPhase phase = cluster.runLoad(o, UTILIZATION, o.seconds(), o.seed() + 1);
      int peak = coldPeak.join();
      long rejected =
          cluster.standIns.upstreams().stream().mapToLong(UpstreamStandIn::rejectedWhileCold).sum();
      int limit = cluster.standIns.upstreams().get(0).spec().coldConcurrencyLimit();
      return ResultLine.of("cold-start", o)
          .with("cold_peak", peak)
          .with("cold_bears", limit)
          .with("cold_rejected", rejected)
          .with("failed", phase.failed())
          .with("requests", phase.completed())
          .with("p99_ms", phase.latencyMs(99));
    }
  }

  /**
   * Returns the highest number of requests in flight at a cold upstream. The requests in flight
   * when the upstream became cold are awaited first, because hosts cannot have detected the change
   * before then.
   */
  private static int measureColdPeak(BenchCluster cluster, Random random, int seconds)
      throws InterruptedException {
    int peak = 0;
    List<UpstreamStandIn> all = new ArrayList<>(cluster.standIns.upstreams());
    long endNanos =
        System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds) - TimeUnit.SECONDS.toNanos(1);
    while (System.nanoTime() < endNanos) {
      UpstreamStandIn u = all.get(random.nextInt(all.size()));
      u.makeCold();
      long coldSinceNanos = System.nanoTime();
      BenchCluster.await(() -> u.inFlight() <= u.spec().coldConcurrencyLimit(), INTERVAL_MS);
      u.resetCounters();
      while (u.isCold()
          && System.nanoTime() - coldSinceNanos < TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS)) {
        peak = Math.max(peak, u.inFlight());
        TimeUnit.MILLISECONDS.sleep(1);
      }
    }
    return peak;
  }
}
