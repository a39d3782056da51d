package dev.cactusstack.bench;

import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.decisions.routing.UpstreamSnapshot;
import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A baseline: each of several hosts decides alone, on its own counts, and no host stands between
 * callers and upstreams. Thread-safe.
 */
final class IndependentHostsPolicy implements RequestPolicy {
  private final LoadClient client;
  private final LoadBalancingPolicy loadBalancing;
  private final List<Map<String, UpstreamGroup>> groupsByHost = new ArrayList<>();

  /** One host's view of a service's upstreams. */
  private static final class UpstreamGroup {
    private final List<UpstreamStandIn> upstreams = new ArrayList<>();
    private final List<AtomicInteger> inFlight = new ArrayList<>();
    private final AtomicInteger rotation = new AtomicInteger();

    synchronized int pick(LoadBalancingPolicy loadBalancing) {
      List<UpstreamSnapshot> snapshots =
          inFlight.stream()
              .map(n -> new UpstreamSnapshot(n.get(), Integer.MAX_VALUE, 1, 0, 0, 0))
              .toList();
      int index = loadBalancing.pick(snapshots, rotation.getAndIncrement(), 1).orElseThrow();
      inFlight.get(index).incrementAndGet();
      return index;
    }
  }

  IndependentHostsPolicy(
      LoadClient client,
      LoadBalancingPolicy loadBalancing,
      List<UpstreamStandIn> upstreams,
      int hostCount) {
    this.client = client;
    this.loadBalancing = loadBalancing;
    for (int i = 0; i < hostCount; i++) {
      var groups = new HashMap<String, UpstreamGroup>();
      for (UpstreamStandIn u : upstreams) {
        UpstreamGroup g = groups.computeIfAbsent(u.spec().service(), s -> new UpstreamGroup());
        g.upstreams.add(u);
        g.inFlight.add(new AtomicInteger());
        // Hosts start at different places, as they would after different histories.
        g.rotation.set(i * 3);
      }
      groupsByHost.add(groups);
    }
  }

  @Override
  public void send(Arrival a, Consumer<CallResult> onDone) {
    UpstreamGroup g =
        java.util.Objects.requireNonNull(groupsByHost.get(a.caller() % groupsByHost.size()).get(a.service()));
    int index = g.pick(loadBalancing);
    client.send(
        LoadClient.Call.get(g.upstreams.get(index).address(), a.service(), "/"),
        r -> {
          g.inFlight.get(index).decrementAndGet();
          onDone.accept(r);
        });
  }
}
