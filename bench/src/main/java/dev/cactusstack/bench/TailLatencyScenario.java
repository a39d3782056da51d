package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.StandInEnvironment;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Compares the tail latency of the current policy with round-robin, least-loaded and the oracle
 * policy, with the same arrivals and slowdowns.
 */
final class TailLatencyScenario implements Scenario {
  private static final double UTILIZATION = 0.7;
  private static final double LIGHT_UTILIZATION = 0.1;
  private static final int WARM_UP_SECONDS = 3;
  private static final int LIGHT_SECONDS = 4;
  private static final long TIMEOUT_MS = 20_000;
  private static final long READY_TIMEOUT_MS = 20_000;
  private static final int CLIENT_THREADS = 2;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (StandInEnvironment standIns =
            StandInEnvironment.start(o.deployment(), o.scale(), o.seed());
        var client = new LoadClient(CLIENT_THREADS, TIMEOUT_MS)) {
      List<UpstreamStandIn> upstreamStandIns = standIns.upstreams();
      int hostCount = o.deployment().entryHosts() * o.scale();
      LoadPhase roundRobin =
          runPolicy(
              o,
              "round-robin",
              standIns,
              new IndependentHostsPolicy(
                  client, LoadBalancingPolicy.ROUND_ROBIN, upstreamStandIns, hostCount));
      LoadPhase leastLoaded =
          runPolicy(
              o,
              "least-loaded",
              standIns,
              new IndependentHostsPolicy(
                  client, LoadBalancingPolicy.LEAST_LOADED, upstreamStandIns, hostCount));
      LoadPhase oracle =
          runPolicy(o, "all-knowing", standIns, new OraclePolicy(client, upstreamStandIns));
      try (var hosts =
          EmbeddedHosts.start(
              standIns,
              hostCount,
              0,
              0,
              LoadBalancingPolicy.LEAST_EXPECTED_LATENCY,
              Map.of(),
              "")) {
        if (!hosts.awaitReady(READY_TIMEOUT_MS)) {
          throw new IllegalStateException("the entry hosts are not ready");
        }
        var policy =
            new EntryHostPolicy(
                client, hosts.hosts().stream().map(h -> h.callerAddress().toString()).toList());
        LoadPhase light = new LoadPhase();
        light.execute(
            ArrivalPlanner.plan(
                o.deployment(),
                o.scale(),
                LIGHT_UTILIZATION,
                WARM_UP_SECONDS + LIGHT_SECONDS,
                o.seed()),
            TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS),
            policy,
            (a, r) -> {});
        LoadPhase current = runPolicy(o, "current", standIns, policy);
        long overSlots =
            upstreamStandIns.stream().mapToLong(UpstreamStandIn::arrivalsOverCapacity).sum();
        return ResultLine.of("tail", o)
            .with("p50_ms", current.latencyMs(50))
            .with("p99_ms", current.latencyMs(99))
            .with("p999_ms", current.latencyMs(99.9))
            .with("p99_vs_round_robin", current.latencyMs(99) / roundRobin.latencyMs(99))
            .with("p99_vs_least_loaded", current.latencyMs(99) / leastLoaded.latencyMs(99))
            .with("p99_vs_all_knowing", current.latencyMs(99) / oracle.latencyMs(99))
            .with("over_slots", overSlots)
            .with("added_p99_ms", light.addedMs(99))
            .with("failed", current.failed())
            .with("requests", current.completed());
      }
    }
  }

  private static LoadPhase runPolicy(
      BenchOptions o, String name, StandInEnvironment standIns, RequestPolicy policy)
      throws InterruptedException {
    List<Arrival> plan =
        ArrivalPlanner.plan(
            o.deployment(), o.scale(), UTILIZATION, WARM_UP_SECONDS + o.seconds(), o.seed());
    long warmUp = TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS);
    var phase = new LoadPhase();
    boolean[] reset = {false};
    try (var slow = new SlowdownInjector(standIns.upstreams(), o.seed())) {
      phase.execute(
          plan,
          warmUp,
          policy,
          (a, r) -> {
            if (!reset[0] && a.dueAfterNanos() >= warmUp) {
              reset[0] = true;
              standIns.upstreams().forEach(UpstreamStandIn::resetCounters);
            }
          });
    }
    long overCapacity =
        standIns.upstreams().stream().mapToLong(UpstreamStandIn::arrivalsOverCapacity).sum();
    System.out.println("policy=" + name + " " + phase + " over_slots=" + overCapacity);
    return phase;
  }
}
