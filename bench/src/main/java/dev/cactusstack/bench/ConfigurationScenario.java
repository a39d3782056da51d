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
  private static final long FAULT_DURATION_MS = 700;
  private static final long IN_FORCE_TIMEOUT_MS = 15_000;
  private static final int MAX_WEIGHT = 1_000;

  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger notAccepted = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private final AtomicInteger appliedButNotAccepted = new AtomicInteger();
  private final AtomicInteger lostEdits = new AtomicInteger();
  private final AtomicLong versionReversions = new AtomicLong();
  private final Histogram inForceMs = new Histogram(120_000L, 3);

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = new BenchCluster(o, "")) {
      var running = new boolean[] {true};
      BackgroundTask<Integer> faults =
          BackgroundTask.start("faults", () -> injectFaults(stage, new Random(o.seed()), running));
      BackgroundTask<Integer> reversionWatcher = BackgroundTask.start("watch", () -> countReversions(stage, running));
      BackgroundTask<Integer> firstOperator = startOperator(stage, o, 0, 0);
      BackgroundTask<Integer> secondOperator = startOperator(stage, o, 1, MAX_WEIGHT / 2);
      firstOperator.join();
      secondOperator.join();
      running[0] = false;
      faults.join();
      stage.standIns.platform().setFaults(PlatformFaults.NONE);
      reversionWatcher.join();
      return ResultLine.of("configuration", o)
          .with("accepted", accepted.get())
          .with("in_force_p99_s", inForceMs.getValueAtPercentile(99) / 1e3)
          .with("in_force_max_s", inForceMs.getMaxValue() / 1e3)
          .with("reverts", versionReversions.get())
          .with("lost", lostEdits.get())
          .with("phantom", appliedButNotAccepted.get())
          .with("not_accepted", notAccepted.get())
          .with("unknown", unknown.get());
    }
  }

  /** Each operator has its own row for the check of lost edits, and races on a shared one. */
  private BackgroundTask<Integer> startOperator(BenchCluster stage, BenchOptions o, int host, int firstValue) {
    String service = o.deployment().services().get(host).name();
    String sharedService = o.deployment().services().get(2).name();
    String dataCentre = o.deployment().dataCentres().get(0);
    return BackgroundTask.start(
        "operator-" + host,
        () -> {
          long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(o.seconds());
          int value = firstValue;
          while (System.nanoTime() < endNanos && value < firstValue + MAX_WEIGHT / 2 - 1) {
            edit(stage, host, service, dataCentre, ++value);
            stage.ctl(host, "table", "set", sharedService, dataCentre, "weight=" + value);
          }
          return value;
        });
  }

  private void edit(BenchCluster stage, int host, String service, String dataCentre, int value)
      throws InterruptedException {
    BenchCluster.CommandResult e = stage.ctl(host, "table", "set", service, dataCentre, "weight=" + value);
    RouteKey key = RouteKey.of(service, dataCentre);
    if (e.isAccepted()) {
      accepted.incrementAndGet();
      long start = System.nanoTime();
      boolean onAllHosts = BenchCluster.await(() -> isInForce(stage, e.version()), IN_FORCE_TIMEOUT_MS);
      inForceMs.recordValue((System.nanoTime() - start) / 1_000_000);
      // Only this operator edits the row, so its value must be what was accepted.
      boolean preserved = onAllHosts && stage.hosts().stream().allMatch(h -> weight(h, key) == value);
      lostEdits.addAndGet(preserved ? 0 : 1);
    } else if (e.text().contains("outcome=unknown")) {
      unknown.incrementAndGet();
    } else {
      notAccepted.incrementAndGet();
      TimeUnit.MILLISECONDS.sleep(FAULT_DURATION_MS);
      appliedButNotAccepted.addAndGet(stage.hosts().stream().anyMatch(h -> weight(h, key) == value) ? 1 : 0);
    }
  }

  private static boolean isInForce(BenchCluster stage, long version) {
    return stage.hosts().stream()
        .allMatch(h -> h.controllers().configuration().inForce().version() >= version);
  }

  private static int weight(EntryHost h, RouteKey key) {
    ConfigurationTable t = h.controllers().configuration().inForce();
    return t.route(key).map(r -> r.weight()).orElse(-1);
  }

  private int countReversions(BenchCluster stage, boolean[] running) throws InterruptedException {
    long[] highestVersions = new long[stage.hosts().size()];
    while (running[0]) {
      for (int i = 0; i < highestVersions.length; i++) {
        long v = stage.hosts().get(i).controllers().configuration().inForce().version();
        versionReversions.addAndGet(v < highestVersions[i] ? 1 : 0);
        highestVersions[i] = Math.max(highestVersions[i], v);
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return 0;
  }

  private static int injectFaults(BenchCluster stage, Random random, boolean[] running)
      throws InterruptedException {
    int n = 0;
    while (running[0]) {
      stage
          .standIns
          .platform()
          .setFaults(
              switch (random.nextInt(4)) {
                case 0 -> new PlatformFaults(false, 0, 1);
                case 1 -> new PlatformFaults(true, 0, 0);
                case 2 -> new PlatformFaults(false, 300, 0);
                default -> PlatformFaults.NONE;
              });
      n++;
      TimeUnit.MILLISECONDS.sleep(FAULT_DURATION_MS);
    }
    return n;
  }
}
