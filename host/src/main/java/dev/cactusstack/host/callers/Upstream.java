package dev.cactusstack.host.callers;

import dev.cactusstack.decisions.routing.UpstreamSnapshot;
import dev.cactusstack.decisions.state.Observation;
import dev.cactusstack.decisions.state.UpstreamHealth;
import dev.cactusstack.decisions.state.UpstreamState;
import dev.cactusstack.model.Address;
import java.util.Objects;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * What the owner of a route knows of one upstream.
 *
 * <p>Invariant: leases granted and not released never exceed the limit given to {@link #tryLease}.
 * Thread-safe without locks.
 */
public final class Upstream {
  private static final long STATE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Address address;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final ConcurrentLinkedDeque<Lease> leases = new ConcurrentLinkedDeque<>();
  private volatile long lastReleaseNanos;
  private final AtomicReference<UpstreamHealth> health =
      new AtomicReference<>(UpstreamHealth.INITIAL);

  /**
   * Creates an upstream that has proved nothing yet.
   *
   * @param address where it serves
   */
  public Upstream(Address address) {
    this.address = Objects.requireNonNull(address, "address is null");
  }

  /**
   * Returns where it serves.
   *
   * @return the address
   */
  public Address address() {
    return address;
  }

  /**
   * Returns what is believed of it.
   *
   * @return the present belief
   */
  public UpstreamHealth health() {
    return Objects.requireNonNull(health.get());
  }

  /**
   * Returns how many requests this host has in flight there.
   *
   * @return the count
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Takes one observation into account.
   *
   * @param observation the observation
   * @param nowMs when it was made
   */
  public void observe(Observation observation, long nowMs) {
    health.updateAndGet(h -> Objects.requireNonNull(h).observe(observation, nowMs));
  }

  /**
   * Forgets what is believed of an upstream that has had no request for long: it may have turned
   * cold meanwhile.
   *
   * @param nowNanos the present time
   */
  public void expireState(long nowNanos) {
    boolean idle = inFlight.get() == 0 && nowNanos - lastReleaseNanos > STATE_EXPIRY_NANOS;
    if (idle && health().state() == UpstreamState.WARM) {
      observe(new Observation.StateExpired(), TimeUnit.NANOSECONDS.toMillis(nowNanos));
    }
  }

  UpstreamSnapshot snapshot(int operatorLimit, long nowNanos) {
    UpstreamHealth h = health();
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    return new UpstreamSnapshot(
        inFlight.get(),
        h.effectiveLimit(operatorLimit, nowMs),
        h.latencyMs(),
        oldestRequestAgeMs(nowNanos),
        inFlight.get() > 0 ? 0 : Math.max(0, (nowNanos - lastReleaseNanos) / 1e6),
        h.failureRate());
  }

  private double oldestRequestAgeMs(long nowNanos) {
    for (Lease l = leases.peekFirst(); l != null; l = leases.peekFirst()) {
      if (!l.isReleased()) {
        return Math.max(0, (nowNanos - l.grantedAtNanos()) / 1e6);
      }
      leases.remove(l);
    }
    return 0;
  }

  /** Grants a lease when fewer than {@code limit} are held. */
  @org.jspecify.annotations.Nullable
  Lease tryLease(int limit, RouteScheduler scheduler, long nowNanos) {
    int before = inFlight.getAndUpdate(n -> n < limit ? n + 1 : n);
    if (before >= limit) {
      return null;
    }
    var lease = new Lease(this, scheduler, nowNanos);
    leases.addLast(lease);
    return lease;
  }

  void onRelease(Lease lease, long nowNanos) {
    lastReleaseNanos = nowNanos;
    inFlight.decrementAndGet();
    // The common case is that the oldest ends first; others are removed when they become the
    // oldest.
    if (leases.peekFirst() == lease) {
      leases.remove(lease);
    }
  }
}
