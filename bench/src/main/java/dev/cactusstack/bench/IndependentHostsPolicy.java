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
 * A baseline policy: each of several simulated hosts selects upstreams independently by its own
 * in-flight counts, and callers connect directly to the upstreams. Thread-safe.
 */
final class IndependentHostsPolicy implements RequestPolicy {
  private final LoadClient client;
  private final LoadBalancingPolicy loadBalancing;
  private final List<Map<String, UpstreamGroup>> groupsByHost = new ArrayList<>();

  /** The upstreams of a service with one host's in-flight counts. */
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
        // Hosts start their rotation at different upstreams, as hosts with different histories do.
        g.rotation.set(i * 3);
      }
      groupsByHost.add(groups);
    }
  }

  @Override
  public void send(Arrival a, Consumer<CallResult> onDone) {
    UpstreamGroup g =
        java.util.Objects.requireNonNull(
            groupsByHost.get(a.caller() % groupsByHost.size()).get(a.service()));
    int index = g.pick(loadBalancing);
    client.send(
        LoadClient.Call.get(g.upstreams.get(index).address(), a.service(), "/"),
        r -> {
          g.inFlight.get(index).decrementAndGet();
          onDone.accept(r);
        });
  }
}
