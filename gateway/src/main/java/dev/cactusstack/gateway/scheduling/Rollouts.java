package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.rollouts.Rollout;
import java.util.Optional;

/** Finds the roll-outs that are ordered. Confined to the event loop. */
public interface Rollouts {
  /** No roll-out is ordered for any service. */
  Rollouts NONE =
      new Rollouts() {
        @Override
        public Optional<Rollout> find(String service) {
          return Optional.empty();
        }

        @Override
        public void recordUse(String service) {}
      };

  /**
   * Finds the roll-out of a service.
   *
   * @param service the service's name
   * @return the roll-out; empty if none is ordered
   */
  Optional<Rollout> find(String service);

  /**
   * Records that this host places a request of a service.
   *
   * @param service the service's name
   */
  void recordUse(String service);
}
