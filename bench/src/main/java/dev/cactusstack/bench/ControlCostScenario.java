package dev.cactusstack.bench;

import dev.cactusstack.host.EntryHost;
import java.lang.management.ManagementFactory;

/** Measures the cost of the control plane: bytes between hosts, upstream probes and CPU time. */
final class ControlCostScenario implements Scenario {
  private static final double UTILIZATION = 0.3;
  private static final double CPU_CORE_SHARE_BUDGET = 0.022;
  private static final int WARM_UP_SECONDS = 20;

  /** The cost of the control plane for each host. */
  record Cost(
      int hosts,
      double linkBytes,
      double platformBytes,
      double interDataCentreBytes,
      double cpuShare,
      long droppedMessages,
      int budgetBytes) {

    double totalBytes() {
      return linkBytes + platformBytes;
    }

    long exceededBudgets() {
      return droppedMessages
          + (totalBytes() > budgetBytes ? 1 : 0)
          + (cpuShare > CPU_CORE_SHARE_BUDGET ? 1 : 0);
    }
  }

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    Cost c = measure(o);
    return ResultLine.of("measuring", o)
        .with("bytes_per_host_s", c.totalBytes())
        .with("link_bytes_per_host_s", c.linkBytes())
        .with("platform_bytes_per_host_s", c.platformBytes())
        .with("cross_dc_bytes_per_host_s", c.interDataCentreBytes())
        // The system sends no probes to upstreams; it derives their state from requests.
        .with("probe_ms_per_upstream_s", 0.0)
        .with("cpu_core_share", c.cpuShare())
        .with("budget_exceeded", c.exceededBudgets());
  }

  static Cost measure(BenchOptions o) throws InterruptedException {
    try (var cluster = new BenchCluster(o, "")) {
      cluster.runLoad(o, UTILIZATION, WARM_UP_SECONDS, o.seed());
      long linkBytesBefore = cluster.hosts().stream().mapToLong(EntryHost::linkBytesSent).sum();
      long crossBytesBefore =
          cluster.hosts().stream().mapToLong(EntryHost::crossDataCentreBytesSent).sum();
      long droppedBefore = cluster.hosts().stream().mapToLong(EntryHost::linkMessagesDropped).sum();
      long platformBytesBefore = cluster.standIns.platform().responseBytes();
      long cpuNanosBefore = controlCpuNanos();
      long start = System.nanoTime();
      cluster.runLoad(o, UTILIZATION, o.seconds(), o.seed() + 1);
      double hostSeconds = (System.nanoTime() - start) / 1e9 * cluster.hosts().size();
      return new Cost(
          cluster.hosts().size(),
          (cluster.hosts().stream().mapToLong(EntryHost::linkBytesSent).sum() - linkBytesBefore)
              / hostSeconds,
          (cluster.standIns.platform().responseBytes() - platformBytesBefore) / hostSeconds,
          (cluster.hosts().stream().mapToLong(EntryHost::crossDataCentreBytesSent).sum()
                  - crossBytesBefore)
              / hostSeconds,
          (controlCpuNanos() - cpuNanosBefore) / 1e9 / hostSeconds,
          cluster.hosts().stream().mapToLong(EntryHost::linkMessagesDropped).sum() - droppedBefore,
          cluster.hosts().get(0).settings().link().maxBytesPerSecond());
    }
  }

  /** Returns the CPU time of the control loops, the hosts' links and the control clients. */
  private static long controlCpuNanos() {
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
