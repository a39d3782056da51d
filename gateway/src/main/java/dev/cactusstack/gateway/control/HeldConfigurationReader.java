package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.observe.EventLog;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Reads the store again when what it has would replace rules or evacuations that are held after a
 * restore, and until a read succeeds. Confined to the event loop.
 */
final class HeldConfigurationReader {
  private static final long MIN_WAIT_MS = ConfigurationFollower.READ_RETRY_MS;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final ConfigurationState state;
  private final ConfigurationReads reads;
  private boolean scheduled;

  /**
   * Creates a reader without a scheduled read.
   *
   * @param loop the event loop that reads are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs scheduled reads
   * @param state the configuration in force
   * @param reads reads the store
   */
  HeldConfigurationReader(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      ConfigurationState state,
      ConfigurationReads reads) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.state = state;
    this.reads = reads;
  }

  /** Schedules a read if something is held and none is scheduled. */
  void schedule() {
    if (scheduled || !state.isHolding()) {
      return;
    }
    long waitMs = waitMs();
    log.event("configuration_held").with("for_ms", waitMs).write();
    scheduleAfter(waitMs);
  }

  private void readIfHeld() {
    scheduled = false;
    if (state.isHolding()) {
      reads.read();
      scheduleAfter(waitMs());
    }
  }

  private long waitMs() {
    return Math.max(MIN_WAIT_MS, state.holdRemainingMs(clock.getAsLong()));
  }

  private void scheduleAfter(long waitMs) {
    scheduled = true;
    loop.schedule(this::readIfHeld, waitMs, TimeUnit.MILLISECONDS);
  }
}
