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
final class AlonePolicy implements Policy {
  private final LoadClient client;
  private final LoadBalancingPolicy picks;
  private final List<Map<String, Group>> hosts = new ArrayList<>();

  /** One host's view of a service's upstreams. */
  private static final class Group {
    private final List<UpstreamStandIn> upstreams = new ArrayList<>();
    private final List<AtomicInteger> inFlight = new ArrayList<>();
    private final AtomicInteger turn = new AtomicInteger();

    synchronized int pick(LoadBalancingPolicy picks) {
      List<UpstreamSnapshot> views =
          inFlight.stream()
              .map(n -> new UpstreamSnapshot(n.get(), Integer.MAX_VALUE, 1, 0, 0, 0))
              .toList();
      int at = picks.pick(views, turn.getAndIncrement(), 1).orElseThrow();
      inFlight.get(at).incrementAndGet();
      return at;
    }
  }

  AlonePolicy(LoadClient client, LoadBalancingPolicy picks, List<UpstreamStandIn> upstreams, int hostCount) {
    this.client = client;
    this.picks = picks;
    for (int i = 0; i < hostCount; i++) {
      var groups = new HashMap<String, Group>();
      for (UpstreamStandIn u : upstreams) {
        Group g = groups.computeIfAbsent(u.traits().service(), s -> new Group());
        g.upstreams.add(u);
        g.inFlight.add(new AtomicInteger());
        // Hosts start at different places, as they would after different histories.
        g.turn.set(i * 3);
      }
      hosts.add(groups);
    }
  }

  @Override
  public void send(Arrival a, Consumer<CallResult> done) {
    Group g =
        java.util.Objects.requireNonNull(hosts.get(a.caller() % hosts.size()).get(a.service()));
    int at = g.pick(picks);
    client.send(
        LoadClient.Call.get(g.upstreams.get(at).address(), a.service(), "/"),
        r -> {
          g.inFlight.get(at).decrementAndGet();
          done.accept(r);
        });
  }
}
