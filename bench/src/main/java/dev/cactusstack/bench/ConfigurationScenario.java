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
 * Two operators edit the same rows through different hosts while the table service is slow, down or
 * losing responses. Every value is used once, so that each host's table shows which edits it has
 * received.
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
    try (var cluster = new BenchCluster(o, "")) {
      var running = new boolean[] {true};
      BackgroundTask<Integer> faults =
          BackgroundTask.start(
              "faults", () -> injectFaults(cluster, new Random(o.seed()), running));
      BackgroundTask<Integer> reversionWatcher =
          BackgroundTask.start("watch", () -> countReversions(cluster, running));
      BackgroundTask<Integer> firstOperator = startOperator(cluster, o, 0, 0);
      BackgroundTask<Integer> secondOperator = startOperator(cluster, o, 1, MAX_WEIGHT / 2);
      firstOperator.join();
      secondOperator.join();
      running[0] = false;
      faults.join();
      cluster.standIns.platform().setFaults(PlatformFaults.NONE);
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

  /**
   * Starts an operator that edits its own row, to check for lost edits, and a shared row, to cause
   * conflicts.
   */
  private BackgroundTask<Integer> startOperator(
      BenchCluster cluster, BenchOptions o, int host, int firstValue) {
    String service = o.deployment().services().get(host).name();
    String sharedService = o.deployment().services().get(2).name();
    String dataCentre = o.deployment().dataCentres().get(0);
    return BackgroundTask.start(
        "operator-" + host,
        () -> {
          long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(o.seconds());
          int value = firstValue;
          while (System.nanoTime() < endNanos && value < firstValue + MAX_WEIGHT / 2 - 1) {
            edit(cluster, host, service, dataCentre, ++value);
            cluster.ctl(host, "table", "set", sharedService, dataCentre, "weight=" + value);
          }
          return value;
        });
  }

  private void edit(BenchCluster cluster, int host, String service, String dataCentre, int value)
      throws InterruptedException {
    BenchCluster.CommandResult e =
        cluster.ctl(host, "table", "set", service, dataCentre, "weight=" + value);
    RouteKey key = RouteKey.of(service, dataCentre);
    if (e.isAccepted()) {
      accepted.incrementAndGet();
      long start = System.nanoTime();
      boolean onAllHosts =
          BenchCluster.await(() -> isInForce(cluster, e.version()), IN_FORCE_TIMEOUT_MS);
      inForceMs.recordValue((System.nanoTime() - start) / 1_000_000);
      // Only this operator edits the row, so its value must be the accepted one.
      boolean preserved =
          onAllHosts && cluster.hosts().stream().allMatch(h -> weight(h, key) == value);
      lostEdits.addAndGet(preserved ? 0 : 1);
    } else if (e.text().contains("outcome=unknown")) {
      unknown.incrementAndGet();
    } else {
      notAccepted.incrementAndGet();
      TimeUnit.MILLISECONDS.sleep(FAULT_DURATION_MS);
      appliedButNotAccepted.addAndGet(
          cluster.hosts().stream().anyMatch(h -> weight(h, key) == value) ? 1 : 0);
    }
  }

  private static boolean isInForce(BenchCluster cluster, long version) {
    return cluster.hosts().stream()
        .allMatch(h -> h.controllers().configuration().inForce().version() >= version);
  }

  private static int weight(EntryHost h, RouteKey key) {
    ConfigurationTable t = h.controllers().configuration().inForce();
    return t.route(key).map(r -> r.weight()).orElse(-1);
  }

  private int countReversions(BenchCluster cluster, boolean[] running) throws InterruptedException {
    long[] highestVersions = new long[cluster.hosts().size()];
    while (running[0]) {
      for (int i = 0; i < highestVersions.length; i++) {
        long v = cluster.hosts().get(i).controllers().configuration().inForce().version();
        versionReversions.addAndGet(v < highestVersions[i] ? 1 : 0);
        highestVersions[i] = Math.max(highestVersions[i], v);
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return 0;
  }

  private static int injectFaults(BenchCluster cluster, Random random, boolean[] running)
      throws InterruptedException {
    int n = 0;
    while (running[0]) {
      cluster
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
