package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * The reference policy for comparison: a central load balancer with one queue for each service that
 * reads the actual state of the stand-ins. It selects the fastest upstream with a free slot, and
 * uses a slowed one only while requests are queued. Thread-safe.
 */
final class OraclePolicy implements RequestPolicy {
  private final LoadClient client;
  private final Map<String, ServiceGroup> groups = new HashMap<>();

  /** A request that is queued for a slot. */
  private record QueuedRequest(Arrival arrival, Consumer<CallResult> onDone) {}

  /** The upstreams and the queue of a service. */
  private static final class ServiceGroup {
    private final Map<UpstreamStandIn, Integer> inFlight = new HashMap<>();
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
  }

  OraclePolicy(LoadClient client, List<UpstreamStandIn> upstreams) {
    this.client = client;
    for (UpstreamStandIn u : upstreams) {
      groups.computeIfAbsent(u.spec().service(), s -> new ServiceGroup()).inFlight.put(u, 0);
    }
  }

  @Override
  public synchronized void send(Arrival a, Consumer<CallResult> onDone) {
    ServiceGroup g = java.util.Objects.requireNonNull(groups.get(a.service()));
    g.queue.add(new QueuedRequest(a, onDone));
    dispatchQueued(g);
  }

  private void dispatchQueued(ServiceGroup g) {
    while (!g.queue.isEmpty()) {
      UpstreamStandIn best = selectUpstream(g);
      if (best == null) {
        return;
      }
      QueuedRequest w = g.queue.remove();
      g.inFlight.merge(best, 1, Integer::sum);
      client.send(
          LoadClient.Call.get(best.address(), w.arrival.service(), "/"),
          r -> {
            w.onDone.accept(r);
            onRequestEnded(g, best);
          });
    }
  }

  private synchronized void onRequestEnded(ServiceGroup g, UpstreamStandIn u) {
    g.inFlight.merge(u, -1, Integer::sum);
    dispatchQueued(g);
  }

  /**
   * Returns the fastest upstream with a free slot, or a slowed one only when waiting for a fast one
   * would take longer.
   */
  private static @org.jspecify.annotations.Nullable UpstreamStandIn selectUpstream(ServiceGroup g) {
    UpstreamStandIn best = null;
    double lowestCost = Double.POSITIVE_INFINITY;
    int fastSlots = 0;
    for (Map.Entry<UpstreamStandIn, Integer> e : g.inFlight.entrySet()) {
      UpstreamStandIn u = e.getKey();
      double serviceTimeFactor = u.condition().slowdown();
      fastSlots += serviceTimeFactor <= 1 ? u.spec().slots() : 0;
      double cost = serviceTimeFactor + e.getValue() * 0.01;
      if (e.getValue() < u.spec().slots() && cost < lowestCost) {
        lowestCost = cost;
        best = u;
      }
    }
    // With q queued requests, the last one gets a fast slot after about q / fastSlots service
    // times.
    boolean shouldWait = lowestCost > 1.5 && g.queue.size() < fastSlots * (lowestCost - 1);
    return shouldWait ? null : best;
  }
}
