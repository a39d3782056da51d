package dev.cactusstack.bench;

import dev.cactusstack.standin.Deployment;
import java.util.concurrent.TimeUnit;

/**
 * Measures the unit costs used by docs/CAPACITY.md: CPU time of a call and of a configuration
 * change at the design size, memory of the routing state, and control traffic at two group sizes.
 */
final class CapacityCostScenario implements Scenario {
  private static final int SERVICES = 1_500;
  private static final int DATA_CENTRES = 4;
  private static final int UPSTREAMS = 13_000;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    var small =
        RoutingStateBenchmark.measure(SERVICES / 10, DATA_CENTRES, UPSTREAMS / 10, o.seconds());
    var large = RoutingStateBenchmark.measure(SERVICES, DATA_CENTRES, UPSTREAMS, o.seconds());
    var singleScale = new BenchOptions(o.seed(), o.seconds(), Deployment.QAZYNA, 1);
    var doubleScale = new BenchOptions(o.seed(), o.seconds(), Deployment.QAZYNA, 2);
    var singleScaleCost = ControlCostScenario.measure(singleScale);
    var doubleScaleCost = ControlCostScenario.measure(doubleScale);
    double callsPerCore = HostOverheadScenario.hostCallsPerCore(o);
    return ResultLine.of("slopes", o)
        .with("cpu_us_per_call", TimeUnit.SECONDS.toMicros(1) / callsPerCore)
        .with("routes_small", small.routes())
        .with("change_cpu_ms_small", small.cpuMsPerChange())
        .with("routes_large", large.routes())
        .with("change_cpu_ms_large", large.cpuMsPerChange())
        .with("routing_heap_mb_small", small.heapMb())
        .with("routing_heap_mb_large", large.heapMb())
        .with("hosts_one", singleScaleCost.hosts())
        .with("link_bytes_per_host_s_one", singleScaleCost.linkBytes())
        .with("platform_bytes_per_host_s_one", singleScaleCost.platformBytes())
        .with("cpu_core_share_one", singleScaleCost.cpuShare())
        .with("hosts_two", doubleScaleCost.hosts())
        .with("link_bytes_per_host_s_two", doubleScaleCost.linkBytes())
        .with("platform_bytes_per_host_s_two", doubleScaleCost.platformBytes())
        .with("cpu_core_share_two", doubleScaleCost.cpuShare())
        .with("table_bytes_per_row", large.bytesPerRow())
        .with("host_list_bytes_per_entry", large.bytesPerHost());
  }
}
