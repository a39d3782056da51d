package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.SiteStore;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads the configuration from the store once when asked, and knows when the store was last read.
 *
 * <p>At most one read is pending at a time, except for those that are requested regardless.
 * Confined to the event loop.
 */
final class ConfigurationReads {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final LongSupplier clock;
  private final SiteStore store;
  private final Consumer<ConfigurationChange> receiver;
  private long lastReadAtMs = NEVER;
  private boolean pending;

  /**
   * Creates an instance that has read nothing.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param store the store to read
   * @param receiver receives what was read
   */
  ConfigurationReads(LongSupplier clock, SiteStore store, Consumer<ConfigurationChange> receiver) {
    this.clock = clock;
    this.store = store;
    this.receiver = receiver;
  }

  /**
   * Returns the age of what this host has read of the configuration.
   *
   * @return milliseconds since the last successful call was made; more than any real age before
   *     there was one
   */
  long ageMs() {
    return clock.getAsLong() - lastReadAtMs;
  }

  /**
   * Records a successful call of the store.
   *
   * @param requestedAtMs when the call was made
   */
  void recordSuccess(long requestedAtMs) {
    lastReadAtMs = Math.max(lastReadAtMs, requestedAtMs);
  }

  /**
   * Reserves the pending read for a caller that reads later or releases it.
   *
   * @return false if a read is pending or reserved
   */
  boolean tryReserve() {
    if (pending) {
      return false;
    }
    pending = true;
    return true;
  }

  /** Releases the reserved read, because it is no longer needed. */
  void release() {
    pending = false;
  }

  /** Reads the configuration unless a read is pending or reserved. */
  void readUnlessPending() {
    if (tryReserve()) {
      read();
    }
  }

  /** Reads the configuration regardless of other reads. The response ends a reservation. */
  void read() {
    long requestedAtMs = clock.getAsLong();
    store
        .readConfiguration()
        .whenComplete(
            (change, failure) -> {
              pending = false;
              if (failure == null) {
                recordSuccess(requestedAtMs);
                receiver.accept(change);
              }
            });
  }
}
