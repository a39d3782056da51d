package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import java.lang.management.ManagementFactory;

/** What control costs: bytes between hosts, probes at upstreams, processor time. */
final class MeasuringScenario implements Scenario {
  private static final double BUSY_SHARE = 0.3;
  private static final double CORE_BUDGET = 0.022;
  private static final int WARM_UP_SECONDS = 20;

  /** The cost of control for one host. */
  record Cost(
      int hosts,
      double linkBytes,
      double platformBytes,
      double crossBytes,
      double cpuShare,
      long refused,
      int budgetBytes) {

    double bytes() {
      return linkBytes + platformBytes;
    }

    long exceeded() {
      return refused + (bytes() > budgetBytes ? 1 : 0) + (cpuShare > CORE_BUDGET ? 1 : 0);
    }
  }

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    Cost c = measure(o);
    return ResultLine.of("measuring", o)
        .with("bytes_per_host_s", c.bytes())
        .with("link_bytes_per_host_s", c.linkBytes())
        .with("platform_bytes_per_host_s", c.platformBytes())
        .with("cross_dc_bytes_per_host_s", c.crossBytes())
        // The system sends no probes to upstreams: requests themselves are the evidence.
        .with("probe_ms_per_upstream_s", 0.0)
        .with("cpu_core_share", c.cpuShare())
        .with("budget_exceeded", c.exceeded());
  }

  static Cost measure(BenchOptions o) throws InterruptedException {
    try (var stage = new Stage(o, "")) {
      stage.load(o, BUSY_SHARE, WARM_UP_SECONDS, o.seed());
      long sent = stage.hosts().stream().mapToLong(EntryHost::linkBytesSent).sum();
      long cross = stage.hosts().stream().mapToLong(EntryHost::crossDataCentreBytesSent).sum();
      long refused = stage.hosts().stream().mapToLong(EntryHost::linkMessagesDropped).sum();
      long platform = stage.site.platform().bytes();
      long cpu = controlNanos();
      long start = System.nanoTime();
      stage.load(o, BUSY_SHARE, o.seconds(), o.seed() + 1);
      double hostSeconds = (System.nanoTime() - start) / 1e9 * stage.hosts().size();
      return new Cost(
          stage.hosts().size(),
          (stage.hosts().stream().mapToLong(EntryHost::linkBytesSent).sum() - sent) / hostSeconds,
          (stage.site.platform().bytes() - platform) / hostSeconds,
          (stage.hosts().stream().mapToLong(EntryHost::crossDataCentreBytesSent).sum() - cross)
              / hostSeconds,
          (controlNanos() - cpu) / 1e9 / hostSeconds,
          stage.hosts().stream().mapToLong(EntryHost::linkMessagesDropped).sum() - refused,
          stage.hosts().get(0).settings().link().maxBytesPerSecond());
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
    return sum;
  }
}
