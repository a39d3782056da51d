package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.embedded.EmbeddedHosts;
import dev.cactusstack.embedded.Site;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tail latency of the current policy against round-robin, least-loaded and an all-knowing picker,
 * on the same arrivals with the same slow-downs.
 */
final class TailScenario implements Scenario {
  private static final double BUSY_SHARE = 0.7;
  private static final double LIGHT_SHARE = 0.1;
  private static final int WARM_UP_SECONDS = 3;
  private static final int LIGHT_SECONDS = 4;
  private static final long TIMEOUT_MS = 20_000;
  private static final long READY_MS = 20_000;
  private static final int CLIENT_THREADS = 2;

  @Override
  public ResultLine run(BenchOptions o) throws Exception {
    try (Site site = Site.start(o.deployment(), o.scale(), o.seed());
        var client = new LoadClient(CLIENT_THREADS, TIMEOUT_MS)) {
      List<UpstreamStandIn> ups = site.upstreams();
      int hostCount = o.deployment().entryHosts() * o.scale();
      Phase roundRobin =
          play(
              o,
              "round-robin",
              site,
              new AlonePolicy(client, LoadBalancingPolicy.ROUND_ROBIN, ups, hostCount));
      Phase leastLoaded =
          play(
              o,
              "least-loaded",
              site,
              new AlonePolicy(client, LoadBalancingPolicy.LEAST_LOADED, ups, hostCount));
      Phase allKnowing = play(o, "all-knowing", site, new AllKnowingPolicy(client, ups));
      try (var hosts =
          EmbeddedHosts.start(
              site, hostCount, 0, 0, LoadBalancingPolicy.LEAST_EXPECTED_LATENCY, Map.of(), "")) {
        if (!hosts.awaitReady(READY_MS)) {
          throw new IllegalStateException("the entry hosts are not ready");
        }
        var policy =
            new EntryPolicy(
                client, hosts.hosts().stream().map(h -> h.callerAddress().toString()).toList());
        Phase light = new Phase();
        light.play(
            Arrivals.plan(
                o.deployment(), o.scale(), LIGHT_SHARE, WARM_UP_SECONDS + LIGHT_SECONDS, o.seed()),
            TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS),
            policy,
            (a, r) -> {});
        Phase current = play(o, "current", site, policy);
        long overSlots = ups.stream().mapToLong(UpstreamStandIn::overSlots).sum();
        return ResultLine.of("tail", o)
            .with("p50_ms", current.latencyMs(50))
            .with("p99_ms", current.latencyMs(99))
            .with("p999_ms", current.latencyMs(99.9))
            .with("p99_vs_round_robin", current.latencyMs(99) / roundRobin.latencyMs(99))
            .with("p99_vs_least_loaded", current.latencyMs(99) / leastLoaded.latencyMs(99))
            .with("p99_vs_all_knowing", current.latencyMs(99) / allKnowing.latencyMs(99))
            .with("over_slots", overSlots)
            .with("added_p99_ms", light.addedMs(99))
            .with("failed", current.failed())
            .with("requests", current.completed());
      }
    }
  }

  private static Phase play(BenchOptions o, String name, Site site, Policy policy)
      throws InterruptedException {
    List<Arrival> plan =
        Arrivals.plan(
            o.deployment(), o.scale(), BUSY_SHARE, WARM_UP_SECONDS + o.seconds(), o.seed());
    long warmUp = TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS);
    var phase = new Phase();
    boolean[] reset = {false};
    try (var slow = new SlowDowns(site.upstreams(), o.seed())) {
      phase.play(
          plan,
          warmUp,
          policy,
          (a, r) -> {
            if (!reset[0] && a.atNanos() >= warmUp) {
              reset[0] = true;
              site.upstreams().forEach(UpstreamStandIn::resetCounts);
            }
          });
    }
    long over = site.upstreams().stream().mapToLong(UpstreamStandIn::overSlots).sum();
    System.out.println("policy=" + name + " " + phase + " over_slots=" + over);
    return phase;
  }
}
