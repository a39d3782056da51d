package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows the configuration in the store: reads it in full, then watches it while this host is a
 * reader, and does both again after failures. Confined to the event loop.
 */
final class ConfigurationFollower {
  /** Delay before a failed read is first retried, in milliseconds. */
  static final long READ_RETRY_MS = 250;

  private static final long MAX_READ_RETRY_MS = 1_500;
  private static final long WATCH_TIMEOUT_MS = 20_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final BooleanSupplier isReader;
  private final ConfigurationState state;
  private final ConfigurationReads reads;
  private final Consumer<ConfigurationChange> receiver;
  private boolean fullyRead;
  private boolean paused;
  private int generation;
  private boolean storeFailing;
  private long failingSinceMs;
  private long retryDelayMs = READ_RETRY_MS;
  private long watchRevision;

  /**
   * Creates a follower that has read nothing.
   *
   * @param loop the event loop that retries are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs failures of the store
   * @param store the store to follow
   * @param isReader whether this host watches the store
   * @param state the configuration in force
   * @param reads reads the store once, and records successful calls
   * @param receiver receives what was read
   */
  ConfigurationFollower(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      BooleanSupplier isReader,
      ConfigurationState state,
      ConfigurationReads reads,
      Consumer<ConfigurationChange> receiver) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.isReader = isReader;
    this.state = state;
    this.reads = reads;
    this.receiver = receiver;
  }

  /** Reads or watches the store. The response of an earlier call is then ignored. */
  void follow() {
    int ownGeneration = ++generation;
    if (fullyRead && !isReader.getAsBoolean()) {
      paused = true;
      return;
    }
    long requestedAtMs = clock.getAsLong();
    CompletableFuture<ConfigurationChange> call =
        fullyRead
            ? store.watchConfiguration(watchRevision, WATCH_TIMEOUT_MS)
            : store.readConfiguration();
    call.whenComplete(
        (change, failure) -> {
          if (ownGeneration != generation) {
            return;
          }
          if (failure == null) {
            reads.recordSuccess(requestedAtMs);
            onRecovered();
            onChange(change);
          } else {
            onFailure(StoreException.of(failure));
          }
        });
  }

  /** Resumes watching the store if this host has become a reader. */
  void updateReaderRole() {
    if (paused && isReader.getAsBoolean()) {
      paused = false;
      // Changes may have been missed since the last read, so everything is read before watching.
      fullyRead = false;
      log.event("configuration_reader").write();
      follow();
    }
  }

  /**
   * Skips changes that have been applied.
   *
   * @param revision the revision in force
   */
  void advanceTo(long revision) {
    watchRevision = Math.max(watchRevision, revision);
  }

  /** Reads the configuration, because the store was restored to an older state. */
  void onStoreRestored() {
    if (fullyRead && !paused) {
      // A watch from a revision of the era before may miss changes, or be answered never.
      fullyRead = false;
      follow();
    } else if (fullyRead) {
      reads.readUnlessPending();
    }
  }

  /**
   * Returns whether the store is unavailable.
   *
   * @return true from a failed call until the next that succeeds
   */
  boolean isStoreFailing() {
    return storeFailing;
  }

  private void onChange(ConfigurationChange change) {
    watchRevision = change.revision();
    // The first configuration is always read in full, so that older entries are not missed.
    fullyRead = change.fullSnapshot() || state.isKnown();
    if (fullyRead) {
      receiver.accept(change);
    }
    follow();
  }

  /**
   * Retries soon while this host knows no configuration, and less and less often once it does:
   * other hosts announce changes, and calls that the store refuses cost as much as others.
   */
  private void scheduleRetry() {
    loop.schedule(this::follow, retryDelayMs, TimeUnit.MILLISECONDS);
    if (state.isKnown()) {
      retryDelayMs = Math.min(MAX_READ_RETRY_MS, retryDelayMs * 2);
    }
  }

  private void onRecovered() {
    retryDelayMs = READ_RETRY_MS;
    if (storeFailing) {
      storeFailing = false;
      log.event("store_regained").with("after_ms", clock.getAsLong() - failingSinceMs).write();
    }
  }

  private void onFailure(StoreException failure) {
    // A failed watch may have missed changes that a new watch does not deliver, so read all.
    boolean wasWatching = fullyRead;
    fullyRead = false;
    if (failure.kind() == StoreException.Kind.HISTORY_UNAVAILABLE && wasWatching) {
      log.event("configuration_history_gone").write();
      follow();
      return;
    }
    if (!storeFailing) {
      storeFailing = true;
      failingSinceMs = clock.getAsLong();
      log.event("store_lost").with("cause", String.valueOf(failure.getMessage())).write();
    }
    if (wasWatching) {
      follow();
    } else {
      scheduleRetry();
    }
  }
}
