package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.RolloutRow;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
import dev.cactusstack.model.site.RolloutStatus;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Drives one roll-out on this host and keeps its status in the store.
 *
 * <p>Invariants: a status is written only over the revision of the row that was read last. The new
 * version gets nothing until the status was read and, if there was none, written. A verdict of the
 * store takes precedence over one of this host that was not written. A success that was never
 * written is discarded if another host changed the row, because that host places on the old
 * version. Confined to the event loop.
 */
final class RolloutTask {
  /** A host that was taken for dead may go on, so the scheduler looks for another's verdict. */
  private static final long REFRESH_INTERVAL_MS = 5_000;

  private static final long OTHER_HOST_REFRESH_INTERVAL_MS = 2_000;
  private static final long USE_MEMORY_MS = 1_000;
  private static final long RETRY_MS = 250;
  private static final long MAX_RETRY_MS = 2_000;

  /**
   * Time for the later order that a row names to reach this host. After a restore of the store
   * revisions are given out again, and a row of the earlier era may name a later order for good.
   */
  private static final long LATER_ORDER_WAIT_MS = 3_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Value of a row's revision that this host can't compare, as after a restore of the store. */
  private static final long UNKNOWN_REVISION = -1;

  private final LongSupplier clock;
  private final SiteStore store;
  private final BooleanSupplier configurationRead;
  private final Rollout rollout;
  private final RolloutEvents events;

  /** Earliest known time of the order on this host's clock; also outlasts a loss of the row. */
  private long orderedAtMs;

  private @Nullable RolloutStatus stored;
  private long rowRevision = UNKNOWN_REVISION;
  private boolean verdictStored;
  private long startedAtMs = RolloutRow.UNNAMED;
  private boolean rowKnown;
  private boolean callPending;
  private boolean scheduler;
  private long nextCallAtMs = NEVER;
  private long retryDelayMs = RETRY_MS;
  private long lastReadAtMs = NEVER;
  private long readStartedAtMs = NEVER;
  private long lastUsedAtMs = NEVER;
  private long laterOrderSinceMs = NEVER;

  /**
   * Creates a task.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param log logs the steps
   * @param store the store that keeps the status
   * @param configurationRead whether the order was read since the last restore of the store
   * @param order the operators' order
   */
  RolloutTask(
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      BooleanSupplier configurationRead,
      RolloutOrder order) {
    this.clock = clock;
    this.store = store;
    this.configurationRead = configurationRead;
    this.rollout = new Rollout(order);
    this.events = new RolloutEvents(log, rollout);
    this.orderedAtMs = clock.getAsLong();
  }

  Rollout rollout() {
    return rollout;
  }

  void recordUse() {
    lastUsedAtMs = clock.getAsLong();
  }

  /**
   * Checks whether nothing is left to do unless the store loses the status, the rank changes or
   * this host places a request.
   */
  boolean isSettled() {
    return rollout.state().isVerdict() ? !isWriteDue() : !scheduler && !isUsed(clock.getAsLong());
  }

  /** Reads the status again, and writes the verdict again if the store has lost it. */
  void reread() {
    stored = null;
    rowKnown = false;
    rowRevision = UNKNOWN_REVISION;
    laterOrderSinceMs = NEVER;
    nextCallAtMs = NEVER;
  }

  /**
   * Advances the roll-out and calls the store if needed.
   *
   * @param isScheduler whether this host is the first in the service's ranking and hears of most
   *     hosts
   */
  void tick(boolean isScheduler) {
    long now = clock.getAsLong();
    if (scheduler && !isScheduler) {
      onSchedulerRoleLost();
    }
    scheduler = isScheduler;
    if (isScheduler) {
      rollout.advance(now);
    }
    events.logStep(now);
    if (!callPending && now >= nextCallAtMs && configurationRead.getAsBoolean()) {
      callStore(now);
    }
  }

  /** Keeps a roll-back until it is written, but not a success that another host can't know of. */
  private void onSchedulerRoleLost() {
    rollout.suspend();
    if (!isWritten()) {
      rollout.discardSuccess();
    }
    rowKnown = false;
  }

  private boolean isWritten() {
    RolloutStatus status = stored;
    return status != null && status.state() == rollout.state();
  }

  private boolean isWriteDue() {
    return rollout.state().isVerdict() && !isWritten();
  }

  private void callStore(long now) {
    if (isWriteDue()) {
      if (rowKnown) {
        write(rollout.state());
      } else {
        read();
      }
      return;
    }
    if (rollout.state().isVerdict()) {
      return;
    }
    boolean due =
        scheduler
            ? rollout.state() == RolloutState.UNREAD || now - lastReadAtMs >= REFRESH_INTERVAL_MS
            : isReadDueOnOtherHost(now);
    if (due) {
      read();
    }
  }

  private boolean isReadDueOnOtherHost(long now) {
    long sinceReadMs = now - lastReadAtMs;
    return rollout.isVerdictSuspected(readStartedAtMs)
        ? sinceReadMs >= RETRY_MS
        : isUsed(now) && sinceReadMs >= OTHER_HOST_REFRESH_INTERVAL_MS;
  }

  private boolean isUsed(long now) {
    return now - lastUsedAtMs <= USE_MEMORY_MS;
  }

  private void read() {
    callPending = true;
    long startedAt = clock.getAsLong();
    store
        .readRolloutStatus(rollout.order().service())
        .whenComplete(
            (row, failure) -> {
              callPending = false;
              if (failure == null) {
                readStartedAtMs = startedAt;
                onRead(row);
              } else {
                onFailure("read", StoreException.of(failure));
              }
            });
  }

  private void onRead(RolloutRow row) {
    long now = clock.getAsLong();
    lastReadAtMs = now;
    boolean changedByOther =
        rowRevision != UNKNOWN_REVISION && row.revision() != rowRevision && !verdictStored;
    rowRevision = row.revision();
    rowKnown = true;
    Optional<RolloutStatus> found = row.statusOf(rollout.order());
    stored = found.orElse(null);
    if (found.isPresent()) {
      laterOrderSinceMs = NEVER;
      retryDelayMs = RETRY_MS;
      adoptRead(found.get(), row, changedByOther, now);
      events.logStep(now);
      return;
    }
    if (changedByOther) {
      rollout.discardSuccess();
    }
    if (row.isOfLaterOrder(rollout.order()) && isLaterOrderAwaited(now)) {
      rowKnown = false;
      nextCallAtMs = now + RETRY_MS;
      return;
    }
    startedAtMs = row.storeNowMs() - (now - orderedAtMs);
    if (rollout.state().isVerdict()) {
      write(rollout.state());
    } else if (scheduler) {
      write(RolloutState.RUNNING);
    }
  }

  private boolean isLaterOrderAwaited(long now) {
    if (laterOrderSinceMs == NEVER) {
      laterOrderSinceMs = now;
    }
    return now - laterOrderSinceMs < LATER_ORDER_WAIT_MS;
  }

  private void adoptRead(RolloutStatus status, RolloutRow row, boolean changedByOther, long now) {
    long elapsedMs = elapsedMs(status, row, now);
    if (status.state().isVerdict()) {
      verdictStored = true;
      rollout.adopt(status.state(), elapsedMs, scheduler, now);
      return;
    }
    if (changedByOther) {
      // The other host has taken over, and may place on the old version.
      rollout.discardSuccess();
      rollout.suspend();
    }
    if (scheduler && rollout.state() == RolloutState.UNREAD) {
      // Changes the row, so that the predecessor can't write a success any more.
      write(RolloutState.RUNNING);
    }
  }

  private long elapsedMs(RolloutStatus status, RolloutRow row, long now) {
    if (status.startedAtMs() == RolloutRow.UNNAMED) {
      startedAtMs = row.storeNowMs() - (now - orderedAtMs);
    } else {
      startedAtMs = status.startedAtMs();
      orderedAtMs = Math.min(orderedAtMs, now - (row.storeNowMs() - startedAtMs));
    }
    return now - orderedAtMs;
  }

  private void write(RolloutState state) {
    if (!configurationRead.getAsBoolean()) {
      // The restored store may have another order.
      rowKnown = false;
      return;
    }
    callPending = true;
    RolloutOrder order = rollout.order();
    var status = new RolloutStatus(state, order.version(), order.revision(), startedAtMs);
    store
        .writeRolloutStatus(order.service(), status, rowRevision)
        .whenComplete(
            (revision, failure) -> {
              callPending = false;
              if (failure == null) {
                onWritten(status, revision);
              } else {
                onFailure("write", StoreException.of(failure));
              }
            });
  }

  private void onWritten(RolloutStatus status, long revision) {
    long now = clock.getAsLong();
    retryDelayMs = RETRY_MS;
    stored = status;
    rowRevision = revision;
    verdictStored = status.state().isVerdict();
    rollout.adopt(status.state(), now - orderedAtMs, scheduler, now);
    events.logWritten(status);
    events.logStep(now);
  }

  /** The row may have changed, or the write may have taken effect, so the row is read first. */
  private void onFailure(String call, StoreException failure) {
    rowKnown = false;
    nextCallAtMs = clock.getAsLong() + retryDelayMs;
    events.logFailure(call, failure, retryDelayMs);
    retryDelayMs = Math.min(MAX_RETRY_MS, retryDelayMs * 2);
  }
}
