package dev.cactusstack.gateway.site;

import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutStatus;
import java.util.Objects;
import java.util.Optional;

/**
 * The row of a roll-out's status as read from the store. Immutable and thread-safe.
 *
 * @param status the status; empty if there is no row, or none that can be read
 * @param revision the revision of the row, 0 if there is none
 * @param storeNowMs the time by the store's clock, in milliseconds
 */
public record RolloutRow(Optional<RolloutStatus> status, long revision, long storeNowMs) {
  /** Value of an order's revision, or of a time, that the row does not name. */
  public static final long UNNAMED = -1;

  /** Checks the components. */
  public RolloutRow {
    Objects.requireNonNull(status, "status is null");
  }

  /**
   * Finds the status of an order. A row that does not name its order belongs to it if it was
   * written later.
   *
   * @param order the order
   * @return the status; empty if the row is that of another order
   */
  public Optional<RolloutStatus> statusOf(RolloutOrder order) {
    return status.filter(
        found ->
            found.isOf(order)
                || (found.orderRevision() == UNNAMED
                    && found.version().equals(order.version())
                    && revision > order.revision()));
  }

  /**
   * Checks whether the row belongs to a later order, which another host already follows.
   *
   * @param order the order
   * @return true if the row must not be replaced by the status of the given order
   */
  public boolean isOfLaterOrder(RolloutOrder order) {
    return status.isPresent() && status.get().orderRevision() > order.revision();
  }
}
