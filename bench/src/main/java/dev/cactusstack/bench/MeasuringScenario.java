package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

/** What control costs: bytes between hosts, probes at upstreams, processor time. */
final class MeasuringScenario implements Scenario {
  private static final double BUSY_SHARE = 0.3;
  private static final double CORE_BUDGET = 0.022;
  private static final int WARM_UP_SECONDS = 4;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (var stage = new Stage(o, "")) {
      stage.load(o, BUSY_SHARE, WARM_UP_SECONDS, o.seed());
      long bytes = stage.hosts().stream().mapToLong(EntryHost::linkBytes).sum();
      long cross = stage.hosts().stream().mapToLong(EntryHost::crossDataCentreBytes).sum();
      long platform = stage.site.platform().bytes();
      long cpu = controlNanos();
      long start = System.nanoTime();
      stage.load(o, BUSY_SHARE, o.seconds(), o.seed() + 1);
      double seconds = (System.nanoTime() - start) / 1e9;
      int n = stage.hosts().size();
      long sent = stage.hosts().stream().mapToLong(EntryHost::linkBytes).sum() - bytes;
      long crossed =
          stage.hosts().stream().mapToLong(EntryHost::crossDataCentreBytes).sum() - cross;
      long fromPlatform = stage.site.platform().bytes() - platform;
      double share = (controlNanos() - cpu) / 1e9 / seconds / n;
      double bytesPerHost = (sent + fromPlatform) / seconds / n;
      long exceeded =
          stage.hosts().stream().mapToLong(EntryHost::linkRefused).sum()
              + (bytesPerHost > stage.hosts().get(0).settings().link().bytesPerSecond() ? 1 : 0)
              + (share > CORE_BUDGET ? 1 : 0);
      return ResultLine.of("measuring", o)
          .with("bytes_per_host_s", bytesPerHost)
          .with("link_bytes_per_host_s", sent / seconds / n)
          .with("platform_bytes_per_host_s", fromPlatform / seconds / n)
          .with("cross_dc_bytes_per_host_s", crossed / seconds / n)
          .with("probe_ms_per_upstream_s", 0.0)
          .with("cpu_core_share", share)
          .with("budget_exceeded", exceeded);
    }
  }

  /** Processor time of the control loops, the hosts' links and the control clients. */
  private static long controlNanos() {
    var beans = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : beans.getAllThreadIds()) {
      var info = beans.getThreadInfo(id);
      String name = info == null ? "" : info.getThreadName();
      if (name.startsWith("control") || name.startsWith("multiThreadIoEventLoopGroup")) {
        sum += Math.max(0, beans.getThreadCpuTime(id));
      }
    }
    return TimeUnit.NANOSECONDS.toNanos(sum);
  }
}
