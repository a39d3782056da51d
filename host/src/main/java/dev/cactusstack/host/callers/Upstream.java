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
 * The state of one upstream as the owner of its route observes it.
 *
 * <p>Invariant: the number of leases held never exceeds the limit passed to {@link #tryLease}.
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
   * Creates an upstream without any observations.
   *
   * @param address the address at which it serves requests
   */
  public Upstream(Address address) {
    this.address = Objects.requireNonNull(address, "address is null");
  }

  /**
   * Returns the address at which it serves requests.
   *
   * @return the address
   */
  public Address address() {
    return address;
  }

  /**
   * Returns the health derived from the observations.
   *
   * @return the current health
   */
  public UpstreamHealth health() {
    return Objects.requireNonNull(health.get());
  }

  /**
   * Returns how many requests this host has in flight at the upstream.
   *
   * @return the count
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Updates the health with one observation.
   *
   * @param observation the observation
   * @param nowMs when it was made
   */
  public void observe(Observation observation, long nowMs) {
    health.updateAndGet(h -> Objects.requireNonNull(h).observe(observation, nowMs));
  }

  /**
   * Expires the state of an upstream that has been idle for long, because it may have become cold.
   *
   * @param nowNanos the current time
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
    // Usually the oldest lease is released first; other released leases are removed when they
    // become the oldest.
    if (leases.peekFirst() == lease) {
      leases.remove(lease);
    }
  }
}
