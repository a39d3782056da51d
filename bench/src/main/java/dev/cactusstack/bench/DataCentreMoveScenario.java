package dev.cactusstack.bench;

import dev.cactusstack.standin.PlatformFaults;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A data centre is taken out under load, the table service goes down right after, and the data
 * centre comes back with cold upstreams.
 */
final class DataCentreMoveScenario implements Scenario {
  private static final double BUSY_SHARE = 0.45;
  private static final int WARM_UP_SECONDS = 4;
  private static final int MIN_SECONDS = 8;
  private static final double BACK_SHARE = 0.8;
  private static final int MARGIN_SECONDS = 8;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    int seconds = Math.max(MIN_SECONDS, o.seconds());
    String moved = o.deployment().dataCentres().get(0);
    try (var stage = new Stage(o, "")) {
      List<UpstreamStandIn> there = stage.upstreamsOf(moved);
      stage.load(o, BUSY_SHARE, WARM_UP_SECONDS, o.seed());
      long before = ran(there);
      Phase usual = stage.load(o, BUSY_SHARE, seconds, o.seed() + 1);
      double perSecond = (ran(there) - before) / (double) seconds;
      Background<Double> out = Background.start("out", () -> takeOut(stage, moved, there));
      Phase during = stage.load(o, BUSY_SHARE, seconds, o.seed() + 2);
      double newWork = out.join();
      stage.site.platform().setFaults(PlatformFaults.NONE);
      there.forEach(UpstreamStandIn::turnCold);
      Background<Back> back = Background.start("in", () -> takeIn(stage, moved, there, perSecond));
      Phase returning = stage.load(o, BUSY_SHARE, seconds + MARGIN_SECONDS, o.seed() + 3);
      Back b = back.join();
      System.out.println("usual " + usual);
      System.out.println("during " + during);
      System.out.println("returning " + returning);
      return ResultLine.of("data-centre-move", o)
          .with("new_work_after_out_s", newWork)
          .with("failed", during.failed() + returning.failed())
          .with("p99_ratio_during", during.latencyMs(99) / usual.latencyMs(99))
          .with("p99_ratio_returning", returning.latencyMs(99) / usual.latencyMs(99))
          .with("back_after_s", b.seconds)
          .with("cold_peak", b.coldPeak)
          .with("cold_bears", there.get(0).traits().coldBears());
    }
  }

  private record Back(double seconds, int coldPeak) {}

  private static long ran(List<UpstreamStandIn> ups) {
    return ups.stream().mapToLong(UpstreamStandIn::ran).sum();
  }

  private static double takeOut(Stage stage, String dataCentre, List<UpstreamStandIn> there)
      throws InterruptedException {
    TimeUnit.SECONDS.sleep(1);
    Stage.Ended e = stage.ctl(0, "data-centre", "out", dataCentre);
    if (!e.isAccepted()) {
      throw new IllegalStateException(e.text());
    }
    stage.site.platform().setFaults(new PlatformFaults(false, 0, 0, true));
    return LastWork.secondsUntilQuiet(there);
  }

  /** Watches until the data centre gets most of its usual share again. */
  private static Back takeIn(
      Stage stage, String dataCentre, List<UpstreamStandIn> there, double perSecond)
      throws InterruptedException {
    Stage.Ended e = stage.ctl(0, "data-centre", "in", dataCentre);
    if (!e.isAccepted()) {
      throw new IllegalStateException(e.text());
    }
    long start = System.nanoTime();
    int coldPeak = 0;
    long second = System.nanoTime();
    long count = ran(there);
    while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(MIN_SECONDS + MARGIN_SECONDS)) {
      for (UpstreamStandIn u : there) {
        coldPeak = Math.max(coldPeak, u.isCold() ? u.inFlight() : 0);
      }
      if (System.nanoTime() - second > TimeUnit.SECONDS.toNanos(1)) {
        long now = ran(there);
        if (now - count >= BACK_SHARE * perSecond) {
          return new Back((System.nanoTime() - start) / 1e9, coldPeak);
        }
        count = now;
        second = System.nanoTime();
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return new Back((System.nanoTime() - start) / 1e9, coldPeak);
  }
}
