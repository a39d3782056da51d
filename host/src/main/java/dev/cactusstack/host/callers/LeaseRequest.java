package dev.cactusstack.host.callers;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.Problem;
import java.util.Set;

/** A request for a lease. Implementations are thread-safe. */
interface LeaseRequest {

  /** Returns the addresses to avoid when another upstream is free. */
  Set<Address> avoided();

  /** Returns whether the request still needs a lease. */
  boolean isPending();

  /**
   * Grants a lease, at most once.
   *
   * @return false when the request has ended; the caller then keeps the lease
   */
  boolean grant(Lease lease);

  /** Rejects the request, at most once. */
  void reject(Problem problem);
}
