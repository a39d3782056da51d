package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * The bound to compare with: one picker for all callers, with one queue for each service, that
 * reads the stand-ins' true state. It takes the fastest upstream with a free slot, and uses a
 * slowed one only while requests wait. Thread-safe.
 */
final class AllKnowingPolicy implements Policy {
  private final LoadClient client;
  private final Map<String, Group> groups = new HashMap<>();

  /** A request that waits for a slot. */
  private record Waiting(Arrival arrival, Consumer<CallResult> done) {}

  /** A service's upstreams and queue. */
  private static final class Group {
    private final Map<UpstreamStandIn, Integer> inFlight = new HashMap<>();
    private final Queue<Waiting> queue = new ArrayDeque<>();
  }

  AllKnowingPolicy(LoadClient client, List<UpstreamStandIn> upstreams) {
    this.client = client;
    for (UpstreamStandIn u : upstreams) {
      groups.computeIfAbsent(u.traits().service(), s -> new Group()).inFlight.put(u, 0);
    }
  }

  @Override
  public synchronized void send(Arrival a, Consumer<CallResult> done) {
    Group g = java.util.Objects.requireNonNull(groups.get(a.service()));
    g.queue.add(new Waiting(a, done));
    drain(g);
  }

  private void drain(Group g) {
    while (!g.queue.isEmpty()) {
      UpstreamStandIn best = best(g);
      if (best == null) {
        return;
      }
      Waiting w = g.queue.remove();
      g.inFlight.merge(best, 1, Integer::sum);
      client.send(
          LoadClient.Call.get(best.address(), w.arrival.service(), "/"),
          r -> {
            w.done.accept(r);
            ended(g, best);
          });
    }
  }

  private synchronized void ended(Group g, UpstreamStandIn u) {
    g.inFlight.merge(u, -1, Integer::sum);
    drain(g);
  }

  /**
   * The fastest with a free slot; a slowed one only when the wait for a fast one would be longer.
   */
  private static @org.jspecify.annotations.Nullable UpstreamStandIn best(Group g) {
    UpstreamStandIn best = null;
    double lowest = Double.POSITIVE_INFINITY;
    int fastSlots = 0;
    for (Map.Entry<UpstreamStandIn, Integer> e : g.inFlight.entrySet()) {
      UpstreamStandIn u = e.getKey();
      double speed = u.condition().slowdown();
      fastSlots += speed <= 1 ? u.traits().slots() : 0;
      double cost = speed + e.getValue() * 0.01;
      if (e.getValue() < u.traits().slots() && cost < lowest) {
        lowest = cost;
        best = u;
      }
    }
    // With a queue of q, a fast slot becomes free for the last one after about q / fastSlots runs.
    boolean waitPays = lowest > 1.5 && g.queue.size() < fastSlots * (lowest - 1);
    return waitPays ? null : best;
  }
}
