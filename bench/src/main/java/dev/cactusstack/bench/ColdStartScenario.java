package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Upstreams turn cold without a sign, one after another, under steady load. */
final class ColdStartScenario implements Scenario {
  private static final double BUSY_SHARE = 0.5;
  private static final int WARM_UP_SECONDS = 3;
  private static final long INTERVAL_MS = 500;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = new Stage(o, "")) {
      stage.load(o, BUSY_SHARE, WARM_UP_SECONDS, o.seed());
      var random = new Random(o.seed());
      Background<Integer> peaks =
          Background.start("cold", () -> turnCold(stage, random, o.seconds()));
      Phase phase = stage.load(o, BUSY_SHARE, o.seconds(), o.seed() + 1);
      int peak = peaks.join();
      long rejected =
          stage.site.upstreams().stream().mapToLong(UpstreamStandIn::rejectedCold).sum();
      int bears = stage.site.upstreams().get(0).traits().coldBears();
      return ResultLine.of("cold-start", o)
          .with("cold_peak", peak)
          .with("cold_bears", bears)
          .with("cold_rejected", rejected)
          .with("failed", phase.failed())
          .with("requests", phase.completed())
          .with("p99_ms", phase.latencyMs(99));
    }
  }

  /**
   * The most requests accepted in flight at an upstream while it was cold. The requests that were
   * in flight when it turned cold are left to end first, since nobody can know of the change
   * before.
   */
  private static int turnCold(Stage stage, Random random, int seconds) throws InterruptedException {
    int peak = 0;
    List<UpstreamStandIn> all = new ArrayList<>(stage.site.upstreams());
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds) - TimeUnit.SECONDS.toNanos(1);
    while (System.nanoTime() < end) {
      UpstreamStandIn u = all.get(random.nextInt(all.size()));
      u.turnCold();
      long turned = System.nanoTime();
      Stage.await(() -> u.inFlight() <= u.traits().coldBears(), INTERVAL_MS);
      u.resetCounts();
      while (u.isCold()
          && System.nanoTime() - turned < TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS)) {
        peak = Math.max(peak, u.inFlight());
        TimeUnit.MILLISECONDS.sleep(1);
      }
    }
    return peak;
  }
}
