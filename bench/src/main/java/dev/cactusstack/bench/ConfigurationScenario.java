package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.RouteKey;
import dev.cactusstack.standin.PlatformFaults;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Two operators edit the same rows through different hosts while the table service is slow, down
 * and losing answers. Every value is used once, so that each host's table tells which edits it has
 * seen.
 */
final class ConfigurationScenario implements Scenario {
  private static final long FAULT_MS = 700;
  private static final long SETTLE_MS = 15_000;
  private static final int MAX_WEIGHT = 1_000;

  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private final AtomicInteger phantom = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicLong reverts = new AtomicLong();
  private final Histogram inForceMs = new Histogram(120_000L, 3);

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = new Stage(o, "")) {
      var running = new boolean[] {true};
      Background<Integer> faults =
          Background.start("faults", () -> cause(stage, new Random(o.seed()), running));
      Background<Integer> watch = Background.start("watch", () -> watchReverts(stage, running));
      Background<Integer> one = operator(stage, o, 0, 0);
      Background<Integer> two = operator(stage, o, 1, MAX_WEIGHT / 2);
      one.join();
      two.join();
      running[0] = false;
      faults.join();
      stage.site.platform().setFaults(PlatformFaults.NONE);
      watch.join();
      return ResultLine.of("configuration", o)
          .with("accepted", accepted.get())
          .with("in_force_p99_s", inForceMs.getValueAtPercentile(99) / 1e3)
          .with("in_force_max_s", inForceMs.getMaxValue() / 1e3)
          .with("reverts", reverts.get())
          .with("lost", lost.get())
          .with("phantom", phantom.get())
          .with("not_accepted", refused.get())
          .with("unknown", unknown.get());
    }
  }

  /** Each operator has its own row for the check of lost edits, and races on a shared one. */
  private Background<Integer> operator(Stage stage, BenchOptions o, int host, int firstValue) {
    String service = o.deployment().services().get(host).name();
    String shared = o.deployment().services().get(2).name();
    String dataCentre = o.deployment().dataCentres().get(0);
    return Background.start(
        "operator-" + host,
        () -> {
          long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(o.seconds());
          int value = firstValue;
          while (System.nanoTime() < end && value < firstValue + MAX_WEIGHT / 2 - 1) {
            edit(stage, host, service, dataCentre, ++value);
            stage.ctl(host, "table", "set", shared, dataCentre, "weight=" + value);
          }
          return value;
        });
  }

  private void edit(Stage stage, int host, String service, String dataCentre, int value)
      throws InterruptedException {
    Stage.Ended e = stage.ctl(host, "table", "set", service, dataCentre, "weight=" + value);
    RouteKey key = RouteKey.of(service, dataCentre);
    if (e.isAccepted()) {
      accepted.incrementAndGet();
      long start = System.nanoTime();
      boolean everywhere = Stage.await(() -> isInForce(stage, e.version()), SETTLE_MS);
      inForceMs.recordValue((System.nanoTime() - start) / 1_000_000);
      // Only this operator edits the row, so its value must be what was accepted.
      boolean kept = everywhere && stage.hosts().stream().allMatch(h -> weight(h, key) == value);
      lost.addAndGet(kept ? 0 : 1);
    } else if (e.text().contains("outcome=unknown")) {
      unknown.incrementAndGet();
    } else {
      refused.incrementAndGet();
      TimeUnit.MILLISECONDS.sleep(FAULT_MS);
      phantom.addAndGet(stage.hosts().stream().anyMatch(h -> weight(h, key) == value) ? 1 : 0);
    }
  }

  private static boolean isInForce(Stage stage, long version) {
    return stage.hosts().stream()
        .allMatch(h -> h.controllers().configuration().inForce().version() >= version);
  }

  private static int weight(EntryHost h, RouteKey key) {
    ConfigurationTable t = h.controllers().configuration().inForce();
    return t.route(key).map(r -> r.weight()).orElse(-1);
  }

  private int watchReverts(Stage stage, boolean[] running) throws InterruptedException {
    long[] highest = new long[stage.hosts().size()];
    while (running[0]) {
      for (int i = 0; i < highest.length; i++) {
        long v = stage.hosts().get(i).controllers().configuration().inForce().version();
        reverts.addAndGet(v < highest[i] ? 1 : 0);
        highest[i] = Math.max(highest[i], v);
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return 0;
  }

  private static int cause(Stage stage, Random random, boolean[] running)
      throws InterruptedException {
    int n = 0;
    while (running[0]) {
      stage
          .site
          .platform()
          .setFaults(
              switch (random.nextInt(4)) {
                case 0 -> new PlatformFaults(false, 0, 1);
                case 1 -> new PlatformFaults(true, 0, 0);
                case 2 -> new PlatformFaults(false, 300, 0);
                default -> PlatformFaults.NONE;
              });
      n++;
      TimeUnit.MILLISECONDS.sleep(FAULT_MS);
    }
    return n;
  }
}
