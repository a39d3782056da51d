package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.ServiceName;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What the filters found out about a request. Immutable and thread-safe.
 *
 * @param service the service it is for
 * @param idempotent whether it may run twice with the effect of once
 * @param bodiless whether it has no body
 * @param forwardedTo the data centre chosen by the host that passed it on, if one did
 * @param mayRefuse whether the host that passed it on wants an answer rather than a wait
 * @param isRetry whether a host or service further up repeats it
 * @param arrivedAtNanos when it arrived
 * @param deadlineNanos when its caller stops waiting; {@link #NO_DEADLINE} when it did not say
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
   * Milliseconds until the caller stops waiting, at most {@code limitMs}; 0 when it has stopped.
   */
  long remainingMs(long nowNanos, long limitMs) {
    if (deadlineNanos == NO_DEADLINE) {
      return limitMs;
    }
    long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
    return Math.max(0, Math.min(limitMs, left));
  }

  /** Whether it may be sent to two upstreams at once. */
  boolean isHedgeable() {
    return idempotent && bodiless && !isRetry;
  }
}
