package dev.cactusstack.model.site;

import java.util.Objects;

/**
 * The status of a roll-out as the store keeps it. Immutable and thread-safe.
 *
 * @param state the state; one that is written is running or a verdict
 * @param version the version that is rolled out
 * @param orderRevision the store's revision of the order
 * @param startedAtMs the time by the store's clock at which a host learned of the order, in
 *     milliseconds
 */
public record RolloutStatus(
    RolloutState state, String version, long orderRevision, long startedAtMs) {
  /** Checks the components. */
  public RolloutStatus {
    Objects.requireNonNull(state, "state is null");
    Objects.requireNonNull(version, "version is null");
  }

  /**
   * Checks whether this is the status of an order.
   *
   * @param order the order
   * @return false if it belongs to an earlier order or to another version
   */
  public boolean isOf(RolloutOrder order) {
    return version.equals(order.version()) && orderRevision == order.revision();
  }

  /**
   * Returns this status in another state.
   *
   * @param newState the state
   * @return the status
   */
  public RolloutStatus withState(RolloutState newState) {
    return new RolloutStatus(newState, version, orderRevision, startedAtMs);
  }
}
