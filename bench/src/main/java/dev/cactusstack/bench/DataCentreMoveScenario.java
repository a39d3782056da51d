package dev.cactusstack.bench;

import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Evacuates a data centre under load, stops the table service immediately afterwards, and then
 * restores the data centre with cold upstreams.
 */
final class DataCentreMoveScenario implements Scenario {
  private static final double UTILIZATION = 0.45;
  private static final int WARM_UP_SECONDS = 4;
  private static final int MIN_SECONDS = 8;
  private static final double RECOVERED_SHARE = 0.8;
  private static final int EXTRA_RECOVERY_SECONDS = 8;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    int seconds = Math.max(MIN_SECONDS, o.seconds());
    String moved = o.deployment().dataCentres().get(0);
    try (var cluster = new BenchCluster(o, "")) {
      List<UpstreamStandIn> movedUpstreams = cluster.upstreamsIn(moved);
      cluster.runLoad(o, UTILIZATION, WARM_UP_SECONDS, o.seed());
      long executedBefore = executedRequests(movedUpstreams);
      LoadPhase baseline = cluster.runLoad(o, UTILIZATION, seconds, o.seed() + 1);
      double baselinePerSecond =
          (executedRequests(movedUpstreams) - executedBefore) / (double) seconds;
      BackgroundTask<Double> evacuation =
          BackgroundTask.start("out", () -> evacuate(cluster, moved, movedUpstreams));
      LoadPhase during = cluster.runLoad(o, UTILIZATION, seconds, o.seed() + 2);
      double lastRequestSeconds = evacuation.join();
      cluster.standIns.platform().setFaults(PlatformFaults.NONE);
      movedUpstreams.forEach(UpstreamStandIn::makeCold);
      BackgroundTask<Recovery> recoveryTask =
          BackgroundTask.start(
              "in", () -> restore(cluster, moved, movedUpstreams, baselinePerSecond));
      LoadPhase returning =
          cluster.runLoad(o, UTILIZATION, seconds + EXTRA_RECOVERY_SECONDS, o.seed() + 3);
      Recovery recovery = recoveryTask.join();
      System.out.println("usual " + baseline);
      System.out.println("during " + during);
      System.out.println("returning " + returning);
      return ResultLine.of("data-centre-move", o)
          .with("new_work_after_out_s", lastRequestSeconds)
          .with("failed", during.failed() + returning.failed())
          .with("p99_ratio_during", during.latencyMs(99) / baseline.latencyMs(99))
          .with("p99_ratio_returning", returning.latencyMs(99) / baseline.latencyMs(99))
          .with("back_after_s", recovery.seconds)
          .with("cold_peak", recovery.coldPeak)
          .with("cold_bears", movedUpstreams.get(0).spec().coldConcurrencyLimit());
    }
  }

  private record Recovery(double seconds, int coldPeak) {}

  private static long executedRequests(List<UpstreamStandIn> upstreamStandIns) {
    return upstreamStandIns.stream().mapToLong(UpstreamStandIn::executedRequests).sum();
  }

  private static double evacuate(
      BenchCluster cluster, String dataCentre, List<UpstreamStandIn> movedUpstreams)
      throws InterruptedException {
    TimeUnit.SECONDS.sleep(1);
    BenchCluster.CommandResult e = cluster.ctl(0, "data-centre", "out", dataCentre);
    if (!e.isAccepted()) {
      throw new IllegalStateException(e.text());
    }
    cluster.standIns.platform().setFaults(new PlatformFaults(false, 0, 0, true));
    return LastRequestWatch.secondsUntilLastRequest(movedUpstreams);
  }

  /** Measures the time until the data centre receives most of its baseline traffic again. */
  private static Recovery restore(
      BenchCluster cluster,
      String dataCentre,
      List<UpstreamStandIn> movedUpstreams,
      double baselinePerSecond)
      throws InterruptedException {
    BenchCluster.CommandResult e = cluster.ctl(0, "data-centre", "in", dataCentre);
    if (!e.isAccepted()) {
      throw new IllegalStateException(e.text());
    }
    long start = System.nanoTime();
    int coldPeak = 0;
    long intervalStartNanos = System.nanoTime();
    long intervalStartCount = executedRequests(movedUpstreams);
    while (System.nanoTime() - start
        < TimeUnit.SECONDS.toNanos(MIN_SECONDS + EXTRA_RECOVERY_SECONDS)) {
      for (UpstreamStandIn u : movedUpstreams) {
        coldPeak = Math.max(coldPeak, u.isCold() ? u.inFlight() : 0);
      }
      if (System.nanoTime() - intervalStartNanos > TimeUnit.SECONDS.toNanos(1)) {
        long now = executedRequests(movedUpstreams);
        if (now - intervalStartCount >= RECOVERED_SHARE * baselinePerSecond) {
          return new Recovery((System.nanoTime() - start) / 1e9, coldPeak);
        }
        intervalStartCount = now;
        intervalStartNanos = System.nanoTime();
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return new Recovery((System.nanoTime() - start) / 1e9, coldPeak);
  }
}
