package dev.cactusstack.host.callers;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The right to have one request in flight at an upstream.
 *
 * <p>Invariant: it is released once, however often {@link #release} is called. Thread-safe.
 */
final class Lease {
  private final Upstream upstream;
  private final RouteScheduler scheduler;
  private final long grantedAtNanos;
  private final AtomicBoolean released = new AtomicBoolean();

  Lease(Upstream upstream, RouteScheduler scheduler, long startNanos) {
    this.upstream = upstream;
    this.scheduler = scheduler;
    this.grantedAtNanos = startNanos;
  }

  Upstream upstream() {
    return upstream;
  }

  long grantedAtNanos() {
    return grantedAtNanos;
  }

  boolean isReleased() {
    return released.get();
  }

  void release() {
    if (released.compareAndSet(false, true)) {
      scheduler.onRelease(this);
    }
  }
}
