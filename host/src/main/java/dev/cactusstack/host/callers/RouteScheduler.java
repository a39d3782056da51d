package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.GroupStatistics;
import dev.cactusstack.decisions.routing.LoadBalancingPolicy;
import dev.cactusstack.decisions.routing.UpstreamSnapshot;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.model.RouteKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The owner's view of one route: its upstreams, the requests in flight and one queue.
 *
 * <p>Invariants: requests in flight never exceed the route's limit, nor an upstream's; a request
 * that waits is granted a lease as soon as one is free. Thread-safe without locks.
 */
public final class RouteScheduler {
  private final RouteKey key;
  private final LoadBalancingPolicy policy;
  private final Ticker ticker;
  private final ConcurrentLinkedQueue<LeaseRequest> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queueSize = new AtomicInteger();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger pickCounter = new AtomicInteger();
  private volatile double typicalResponseMs = 1;
  private volatile List<Upstream> upstreams = List.of();
  private volatile RouteLimits limits = new RouteLimits(0, 1, 0);

  /**
   * Creates a scheduler without upstreams.
   *
   * @param key the route
   * @param policy chooses among the upstreams
   * @param ticker the clock
   */
  public RouteScheduler(RouteKey key, LoadBalancingPolicy policy, Ticker ticker) {
    this.key = Objects.requireNonNull(key, "key is null");
    this.policy = Objects.requireNonNull(policy, "policy is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
  }

  /**
   * Returns the upstreams.
   *
   * @return a snapshot
   */
  public List<Upstream> upstreams() {
    return upstreams;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the count
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Returns the number of requests that wait.
   *
   * @return the count
   */
  public int queueSize() {
    return Math.max(0, queueSize.get());
  }

  /**
   * Returns how many requests may be in flight now, by limits and evidence.
   *
   * @return the count
   */
  public int capacity() {
    RouteLimits l = limits;
    long now = ticker.millis();
    long sum = 0;
    for (Upstream u : upstreams) {
      sum += u.health().effectiveLimit(l.perUpstream(), now);
    }
    return (int) Math.min(l.inFlight(), sum);
  }

  /**
   * Replaces upstreams and limits.
   *
   * @param next the upstreams
   * @param inFlightLimit most requests in flight over all upstreams
   * @param perUpstream most requests in flight at one upstream
   * @param queueLength most requests waiting
   */
  public void configure(List<Upstream> next, int inFlightLimit, int perUpstream, int queueLength) {
    upstreams = List.copyOf(next);
    limits = new RouteLimits(inFlightLimit, perUpstream, queueLength);
    grantQueued();
  }

  void submit(LeaseRequest w) {
    if (upstreams.isEmpty()) {
      w.reject(
          new Problem(
              ProblemKind.NO_UPSTREAM,
              "route " + key + " has no upstream",
              "check the platform's host list, then repeat the request"));
      return;
    }
    if (queueSize.get() >= limits.queueLength() + 1) {
      w.reject(
          new Problem(
              ProblemKind.OVERLOADED,
              "route " + key + " has " + queueSize.get() + " requests waiting",
              "repeat the request after a pause, or raise the row's limits"));
      return;
    }
    queueSize.incrementAndGet();
    queue.add(w);
    grantQueued();
  }

  /**
   * Grants a lease at a quick upstream at once, or none. Does not overtake waiting requests.
   *
   * @param avoided addresses that must not be used
   */
  @Nullable Lease tryAcquire(Set<Address> avoided) {
    return queueSize.get() > 0 ? null : tryAcquireAheadOfQueue(avoided);
  }

  /** As {@link #tryNow}, for a request that has waited longer than those in the queue. */
  @Nullable Lease tryAcquireAheadOfQueue(Set<Address> avoided) {
    List<Upstream> candidates = avoided.isEmpty() ? upstreams : without(upstreams, avoided);
    return withinRouteLimit(l -> acquireAmong(candidates, l, 0));
  }

  /** The usual time of an answer at the last choice, in milliseconds. */
  double typicalResponseMs() {
    return typicalResponseMs;
  }

  /** What the upstreams can be expected to do now. */
  GroupStatistics statistics() {
    return GroupStatistics.of(snapshots(upstreams, limits, ticker.nanos()));
  }

  /** How long one more request would wait, in milliseconds. */
  double expectedWaitMs() {
    GroupStatistics o = statistics();
    boolean routeFull = inFlight.get() >= limits.inFlight();
    int ahead = queueSize() + 1;
    return routeFull ? o.estimatedWaitMs(o.fastFreeCapacity() + ahead) : o.estimatedWaitMs(ahead);
  }

  /**
   * Refuses every waiting request, as when another host has become the owner.
   *
   * @param problem what the requests are told
   */
  public void rejectAll(Problem problem) {
    for (LeaseRequest w = poll(); w != null; w = poll()) {
      w.reject(problem);
    }
  }

  /** Grants leases while there are waiting requests and free capacity. */
  public void grantQueued() {
    while (true) {
      LeaseRequest head = peekPending();
      if (head == null) {
        return;
      }
      Lease lease = tryLease(head.avoided());
      if (lease == null) {
        return;
      }
      LeaseRequest w = poll();
      if (w == null || !w.grant(lease)) {
        lease.release();
      }
    }
  }

  private @Nullable LeaseRequest peekPending() {
    for (LeaseRequest w = queue.peek(); w != null; w = queue.peek()) {
      if (w.isPending()) {
        return w;
      }
      if (queue.remove(w)) {
        queueSize.decrementAndGet();
      }
    }
    return null;
  }

  private @Nullable LeaseRequest poll() {
    LeaseRequest w = queue.poll();
    if (w != null) {
      queueSize.decrementAndGet();
    }
    return w;
  }

  private @Nullable Lease tryLease(Set<Address> avoided) {
    return withinRouteLimit(l -> acquirePreferringOthers(l, avoided));
  }

  private @Nullable Lease withinRouteLimit(Function<RouteLimits, @Nullable Lease> find) {
    RouteLimits l = limits;
    int before = inFlight.getAndUpdate(n -> n < l.inFlight() ? n + 1 : n);
    if (before >= l.inFlight()) {
      return null;
    }
    Lease lease = find.apply(l);
    if (lease == null) {
      inFlight.decrementAndGet();
    }
    return lease;
  }

  private @Nullable Lease acquirePreferringOthers(RouteLimits l, Set<Address> avoided) {
    List<Upstream> candidates = upstreams;
    int queuedRequests = Math.max(1, queueSize.get());
    if (!avoided.isEmpty()) {
      Lease elsewhere = acquireAmong(without(candidates, avoided), l, queuedRequests);
      if (elsewhere != null) {
        return elsewhere;
      }
    }
    return acquireAmong(candidates, l, queuedRequests);
  }

  private static List<Upstream> without(List<Upstream> all, Set<Address> avoided) {
    return all.stream().filter(u -> !avoided.contains(u.address())).toList();
  }

  private @Nullable Lease acquireAmong(List<Upstream> candidates, RouteLimits l, int queuedRequests) {
    // Another thread may take the chosen place first; each retry sees the newer counts.
    for (int i = 0; i <= candidates.size(); i++) {
      long now = ticker.nanos();
      List<UpstreamSnapshot> upstreamSnapshots = snapshots(candidates, l, now);
      GroupStatistics groupStatistics = GroupStatistics.of(upstreamSnapshots);
      typicalResponseMs = groupStatistics.typicalCostMs();
      OptionalInt choice = policy.pick(upstreamSnapshots, groupStatistics, pickCounter.getAndIncrement(), queuedRequests);
      if (choice.isEmpty()) {
        return null;
      }
      int index = choice.getAsInt();
      Lease lease = candidates.get(index).tryLease(upstreamSnapshots.get(index).limit(), this, now);
      if (lease != null) {
        return lease;
      }
    }
    return null;
  }

  private static List<UpstreamSnapshot> snapshots(List<Upstream> upstreams, RouteLimits l, long now) {
    var result = new ArrayList<UpstreamSnapshot>(upstreams.size());
    for (Upstream u : upstreams) {
      result.add(u.snapshot(l.perUpstream(), now));
    }
    return result;
  }

  void onRelease(Lease lease) {
    lease.upstream().onRelease(lease, ticker.nanos());
    inFlight.decrementAndGet();
    grantQueued();
  }
}
