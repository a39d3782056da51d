package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Hosts and an upstream leave in good order under load. */
final class ShutdownScenario implements Scenario {
  private static final double BUSY_SHARE = 0.5;
  private static final int WARM_UP_SECONDS = 3;
  private static final long LEAVE_AFTER_MS = 1_000;
  private static final int MIN_SECONDS = 10;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = new Stage(o, "")) {
      stage.load(o, BUSY_SHARE, WARM_UP_SECONDS, o.seed());
      var inFlight = new AtomicLong();
      Background<Integer> leaving = Background.start("leave", () -> leaveTwo(stage, inFlight));
      Background<Double> upstream = Background.start("upstream", () -> upstreamLeaves(stage));
      Phase phase = stage.load(o, BUSY_SHARE, Math.max(MIN_SECONDS, o.seconds()), o.seed() + 1);
      System.out.println("load " + phase);
      int cutOff = leaving.join();
      return ResultLine.of("shutdown", o)
          .with("in_flight", inFlight.get())
          .with("cut_off", cutOff + phase.failed())
          .with("new_work_after_leaving_s", upstream.join())
          .with("requests", phase.completed());
    }
  }

  private static int leaveTwo(Stage stage, AtomicLong inFlight) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(LEAVE_AFTER_MS);
    int cutOff = 0;
    Background<Integer> first = leave(stage.hosts().get(1), inFlight);
    Background<Integer> second = leave(stage.hosts().get(2), inFlight);
    cutOff += first.join();
    cutOff += second.join();
    return cutOff;
  }

  private static Background<Integer> leave(EntryHost h, AtomicLong inFlight) {
    inFlight.addAndGet(h.inFlight());
    return Background.start("leave-one", h::shutDownGracefully);
  }

  /** Seconds from the listing of an upstream as leaving to the last request that it got. */
  private static double upstreamLeaves(Stage stage) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(LEAVE_AFTER_MS);
    UpstreamStandIn u = stage.site.upstreams().get(0);
    stage.site.list(u, true);
    return LastWork.secondsUntilQuiet(java.util.List.of(u));
  }
}
