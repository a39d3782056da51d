package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamCondition;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Slows down one in five upstreams by a factor of ten, and selects others every two seconds.
 * Confined to one thread.
 */
final class SlowdownInjector implements AutoCloseable {
  private static final int UPSTREAMS_PER_SLOWED = 5;
  private static final double SLOWDOWN_FACTOR = 10;
  private static final long PERIOD_MS = 2_000;

  private final List<UpstreamStandIn> upstreams;
  private final Random random;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            var t = new Thread(r, "slow-downs");
            t.setDaemon(true);
            return t;
          });

  SlowdownInjector(List<UpstreamStandIn> upstreams, long seed) {
    this.upstreams = List.copyOf(upstreams);
    this.random = new Random(seed);
    timer.scheduleAtFixedRate(this::slowRandomUpstreams, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void slowRandomUpstreams() {
    var shuffled = new ArrayList<>(upstreams);
    Collections.shuffle(shuffled, random);
    int slowedCount = upstreams.size() / UPSTREAMS_PER_SLOWED;
    for (int i = 0; i < shuffled.size(); i++) {
      UpstreamCondition c = UpstreamCondition.HEALTHY;
      shuffled.get(i).setCondition(i < slowedCount ? c.withSlowdown(SLOWDOWN_FACTOR) : c);
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    upstreams.forEach(u -> u.setCondition(UpstreamCondition.HEALTHY));
  }
}
