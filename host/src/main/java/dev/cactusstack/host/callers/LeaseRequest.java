package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import java.util.Set;

/** A request that waits for a lease. Implementations are thread-safe. */
interface LeaseRequest {

  /** Addresses to avoid when another is free. */
  Set<Address> avoided();

  /** Whether the request still wants a lease. */
  boolean isPending();

  /**
   * Hands over a lease, once.
   *
   * @return false when the request has stopped waiting; the lease is then not taken
   */
  boolean grant(Lease lease);

  /** Tells the request, once, that it gets no lease. */
  void reject(Problem problem);
}
