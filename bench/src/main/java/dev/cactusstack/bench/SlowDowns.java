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

/** Slows one upstream in five tenfold, another choice every two seconds. Confined to one thread. */
final class SlowDowns implements AutoCloseable {
  private static final int ONE_IN = 5;
  private static final double FACTOR = 10;
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

  SlowDowns(List<UpstreamStandIn> upstreams, long seed) {
    this.upstreams = List.copyOf(upstreams);
    this.random = new Random(seed);
    timer.scheduleAtFixedRate(this::change, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void change() {
    var order = new ArrayList<>(upstreams);
    Collections.shuffle(order, random);
    int slowed = upstreams.size() / ONE_IN;
    for (int i = 0; i < order.size(); i++) {
      UpstreamCondition c = UpstreamCondition.HEALTHY;
      order.get(i).become(i < slowed ? c.slowedBy(FACTOR) : c);
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    upstreams.forEach(u -> u.become(UpstreamCondition.HEALTHY));
  }
}
