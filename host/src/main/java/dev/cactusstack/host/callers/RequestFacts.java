package dev.cactusstack.host.callers;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.ServiceName;
import java.util.Optional;

/**
 * What the filters found out about a request. Immutable and thread-safe.
 *
 * @param service the service it is for
 * @param idempotent whether it may run twice with the effect of once
 * @param bodiless whether it has no body
 * @param forwardedTo the data centre chosen by the host that passed it on, if one did
 * @param mayRefuse whether the host that passed it on wants an answer rather than a wait
 * @param arrivedNanos when it arrived
 */
record RequestFacts(
    ServiceName service,
    boolean idempotent,
    boolean bodiless,
    Optional<DataCentre> forwardedTo,
    boolean mayRefuse,
    long arrivedNanos) {

  /** Whether it may be sent to two upstreams at once. */
  boolean isHedgeable() {
    return idempotent && bodiless;
  }
}
