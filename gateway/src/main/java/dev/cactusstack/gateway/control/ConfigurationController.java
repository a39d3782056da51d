package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.matching.RouteMatcher;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The configuration in force.
 *
 * <p>Every host reads it from the store when it starts. Then readers follow the store, and tell
 * other hosts of each change; a host that hears of a change which it doesn't have asks for it, and
 * reads the store when nobody answers.
 *
 * <p>Invariant: what is in force never goes back to an older revision. Confined to the event loop.
 */
public final class ConfigurationController {
  private static final long WATCH_TIMEOUT_MS = 20_000;
  private static final long ANNOUNCED_CHANGE_WAIT_MS = 300;
  private static final long READ_RETRY_MS = 250;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final BooleanSupplier isReader;
  private Runnable changeListener = () -> {};
  private Consumer<ConfigurationSnapshot> snapshotListener = k -> {};
  private @Nullable SiteConfiguration activeConfiguration;
  private RouteMatcher routeMatcher = new RouteMatcher(List.of());
  private boolean fullyRead;
  private boolean followingPaused;
  private boolean rereadPending;
  private boolean storeFailing;
  private long failingSinceMs;
  private long lastChangeRevision;
  private long watchRevision;

  /**
   * Creates a controller that knows no configuration.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where changes are told
   * @param store where operators write
   * @param isReader whether this host follows the store
   */
  public ConfigurationController(
      EventLoop loop, LongSupplier clock, EventLog log, SiteStore store, BooleanSupplier isReader) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.isReader = isReader;
  }

  /**
   * Begins to follow the operators' configuration.
   *
   * @param listener runs after each change, on the event loop
   * @param snapshotReceiver receives each change that other hosts may not have heard of
   */
  public void start(Runnable listener, Consumer<ConfigurationSnapshot> snapshotReceiver) {
    changeListener = listener;
    snapshotListener = snapshotReceiver;
    followStore();
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<SiteConfiguration> activeConfiguration() {
    return Optional.ofNullable(activeConfiguration);
  }

  /**
   * Returns the routes in force.
   *
   * @return the routes, none before a configuration is known
   */
  public RouteMatcher routeMatcher() {
    return routeMatcher;
  }

  /**
   * Returns what callers may send.
   *
   * @return bounds
   */
  public CallerLimits limits() {
    return activeConfiguration == null ? CallerLimits.DEFAULT : activeConfiguration.limits();
  }

  /**
   * Returns when the configuration in force was last changed.
   *
   * @return the store's revision of the change, 0 before one is known
   */
  public long lastChangeRevision() {
    return lastChangeRevision;
  }

  /**
   * Tells whether the store does not answer.
   *
   * @return true from a failed call until the next that succeeds
   */
  public boolean storeFailing() {
    return storeFailing;
  }

  /** Follows the store again, if this host has become a reader. */
  public void updateReaderRole() {
    if (followingPaused && isReader.getAsBoolean()) {
      followingPaused = false;
      // Changes may have been missed since the last look, so everything is read before a watch.
      fullyRead = false;
      log.event("configuration_reader").write();
      followStore();
    }
  }

  /**
   * Returns the configuration in force with its newest change, to be told to other hosts.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<ConfigurationSnapshot> snapshot() {
    return activeConfiguration().map(c -> new ConfigurationSnapshot(c, lastChangeRevision));
  }

  /**
   * Takes in what another host has in force.
   *
   * @param k the configuration
   */
  public void onSnapshot(ConfigurationSnapshot k) {
    SiteConfiguration c = k.configuration();
    if (activeConfiguration != null && c.version() < activeConfiguration.version()) {
      return;
    }
    Map<String, Boolean> evacuations = new HashMap<>();
    c.evacuated().forEach(dataCentre -> evacuations.put(dataCentre, true));
    var rules = new ConfigurationChange.RoutingRules(c.version(), c.routes(), c.services(), c.limits());
    apply(
        new ConfigurationChange(
            c.revision(), k.lastChangeRevision(), true, Optional.of(rules), evacuations));
  }

  /**
   * Takes in that another host knows of a change. When that host does not tell it soon, and no
   * watch does, the configuration is read.
   *
   * @param revision the store's revision of the change
   * @param ask asks that host for its configuration, given the revision that this one knows
   */
  public void onRevisionAnnounced(long revision, LongConsumer ask) {
    if (!rereadPending && isBehind(revision)) {
      rereadPending = true;
      ask.accept(activeConfiguration == null ? 0 : activeConfiguration.revision());
      loop.schedule(() -> readIfBehind(revision), ANNOUNCED_CHANGE_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isBehind(long revision) {
    return activeConfiguration == null || activeConfiguration.revision() < revision;
  }

  private void readIfBehind(long revision) {
    if (!isBehind(revision)) {
      rereadPending = false;
      return;
    }
    log.event("configuration_watch_silent").with("revision", revision).write();
    store
        .readConfiguration()
        .whenComplete(
            (change, failure) -> {
              rereadPending = false;
              if (failure == null) {
                apply(change);
              }
            });
  }

  private void followStore() {
    if (fullyRead && !isReader.getAsBoolean()) {
      followingPaused = true;
      return;
    }
    CompletableFuture<ConfigurationChange> call =
        fullyRead ? store.watchConfiguration(watchRevision, WATCH_TIMEOUT_MS) : store.readConfiguration();
    call.whenComplete(
        (change, failure) -> {
          if (failure == null) {
            onStoreRecovered();
            onStoreChange(change);
          } else {
            onStoreFailure(failure);
          }
        });
  }

  private void onStoreChange(ConfigurationChange change) {
    watchRevision = change.revision();
    // The first configuration is read whole, so that nothing that was there before it is missed.
    fullyRead = change.fullSnapshot() || activeConfiguration != null;
    if (fullyRead) {
      apply(change);
    }
    followStore();
  }

  private void scheduleRetry() {
    loop.schedule(this::followStore, READ_RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void onStoreRecovered() {
    if (storeFailing) {
      storeFailing = false;
      log.event("store_regained").with("after_ms", clock.getAsLong() - failingSinceMs).write();
    }
  }

  private void onStoreFailure(Throwable failure) {
    // A watch that ended may have missed changes and, set up again, may not tell them: read all.
    boolean watching = fullyRead;
    fullyRead = false;
    if (failure instanceof StoreException f && f.kind() == StoreException.Kind.HISTORY_UNAVAILABLE) {
      log.event("configuration_history_gone").write();
      followStore();
      return;
    }
    if (!storeFailing) {
      storeFailing = true;
      failingSinceMs = clock.getAsLong();
      log.event("store_lost").with("cause", String.valueOf(failure.getMessage())).write();
    }
    if (watching) {
      followStore();
    } else {
      scheduleRetry();
    }
  }

  private void apply(ConfigurationChange change) {
    SiteConfiguration previous = activeConfiguration;
    if (previous != null && change.revision() <= previous.revision()) {
      return;
    }
    lastChangeRevision = Math.max(lastChangeRevision, change.lastChangeRevision());
    Set<String> evacuated = new HashSet<>();
    if (previous != null && !change.fullSnapshot()) {
      evacuated.addAll(previous.evacuated());
    }
    change
        .evacuations()
        .forEach(
            (evacuationKey, isEvacuated) -> {
              if (isEvacuated) {
                evacuated.add(evacuationKey);
              } else {
                evacuated.remove(evacuationKey);
              }
            });
    SiteConfiguration next = merge(previous, change, evacuated);
    if (next == null) {
      return;
    }
    activeConfiguration = next;
    watchRevision = Math.max(watchRevision, next.revision());
    boolean rulesChanged = previous == null || previous.version() != next.version();
    if (rulesChanged) {
      routeMatcher = new RouteMatcher(next.routes());
    }
    if (previous == null || rulesChanged || !previous.evacuated().equals(evacuated)) {
      log.event("configuration")
          .with("version", next.version())
          .with("revision", next.revision())
          .with("evacuated", evacuated.toString())
          .write();
      changeListener.run();
    }
    if (previous != null || !change.fullSnapshot()) {
      snapshotListener.accept(new ConfigurationSnapshot(next, lastChangeRevision));
    }
  }

  private static @Nullable SiteConfiguration merge(
      @Nullable SiteConfiguration previous, ConfigurationChange change, Set<String> evacuated) {
    if (change.rules().isPresent()
        && (previous == null || change.rules().get().version() > previous.version())) {
      ConfigurationChange.RoutingRules routingRules = change.rules().get();
      return new SiteConfiguration(
          change.revision(), routingRules.version(), routingRules.routes(), routingRules.services(), routingRules.limits(), evacuated);
    }
    if (previous == null) {
      return null;
    }
    return new SiteConfiguration(
        change.revision(), previous.version(), previous.routes(), previous.services(), previous.limits(), evacuated);
  }
}
