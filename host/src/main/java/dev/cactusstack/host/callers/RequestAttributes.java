package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.ServiceName;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The attributes of a request that the filters determined. Immutable and thread-safe.
 *
 * @param service the requested service
 * @param idempotent whether running it twice has the same effect as running it once
 * @param bodiless whether it has no body
 * @param forwardedTo the data centre selected by the host that forwarded it, if one did
 * @param mayRefuse whether the host that forwarded it prefers a refusal to queueing
 * @param isRetry whether it is a retry by a host or service that sent it
 * @param arrivedAtNanos its arrival time
 * @param deadlineNanos when its caller stops waiting; {@link #NO_DEADLINE} if not given
 */
record RequestAttributes(
    ServiceName service,
    boolean idempotent,
    boolean bodiless,
    Optional<DataCentre> forwardedTo,
    boolean mayRefuse,
    boolean isRetry,
    long arrivedAtNanos,
    long deadlineNanos) {
  static final long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * Returns the milliseconds until the caller stops waiting, at most {@code limitMs}; 0 when the
   * deadline has passed.
   */
  long remainingMs(long nowNanos, long limitMs) {
    if (deadlineNanos == NO_DEADLINE) {
      return limitMs;
    }
    long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
    return Math.max(0, Math.min(limitMs, left));
  }

  /** Returns whether it may be sent to two upstreams at once. */
  boolean isHedgeable() {
    return idempotent && bodiless && !isRetry;
  }
}
