package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.matching.RouteMatcher;
import dev.cactusstack.decisions.recovery.RestoredRules;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.decisions.workspaces.ConfigurationStaleness;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.SiteConfiguration;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.Collections;
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
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the configuration in force.
 *
 * <p>Every host reads the configuration from the store when it starts. After that, readers watch
 * the store and send each change to other hosts. A host that learns of a newer revision queries the
 * host that announced it, and reads the store if the change does not arrive.
 *
 * <p>A watch is not trusted alone, because its connection may go silent: if reads of something else
 * show that the store has changed at a revision that this host cannot explain, the configuration is
 * read.
 *
 * <p>A revision here is a pair of the store's era and revision. After a restore of the store, the
 * evacuations and rollout orders are those of the restored store, and {@link RestoredRules} decides
 * about the rest.
 *
 * <p>Invariant: the configuration in force never reverts to an older revision. Confined to the
 * event loop.
 */
public final class ConfigurationController {
  private static final long WATCH_TIMEOUT_MS = 20_000;
  private static final long ANNOUNCED_CHANGE_WAIT_MS = 300;

  /** Longer than a change takes from the watch, or the start of a host by gossip as a rule. */
  private static final long EXPLANATION_WAIT_MS = 400;

  private static final long READ_RETRY_MS = 250;
  private static final long MAX_READ_RETRY_MS = 1_500;
  private static final long UNKNOWN_REVISION = 0;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Keeps a log line short when many workspaces share keys. */
  private static final int MAX_LOGGED_WORKSPACES = 10;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final BooleanSupplier isReader;
  private final LongPredicate isHostStart;
  private final Set<Long> unexplainedRevisions = new HashSet<>();
  private final RestoredRules restoredRules = new RestoredRules();
  private Runnable changeListener = () -> {};
  private Consumer<ConfigurationSnapshot> snapshotListener = k -> {};
  private @Nullable SiteConfiguration activeConfiguration;
  private RouteMatcher routeMatcher = new RouteMatcher(List.of());
  private WorkspaceKeys workspaceKeys = WorkspaceKeys.NONE;
  private long lastReadAtMs = NEVER;
  private long announcedRevision;
  private long announcedAtMs = NEVER;
  private boolean fullyRead;
  private boolean followingPaused;
  private boolean rereadPending;
  private boolean explanationPending;
  private boolean heldRulesReadPending;
  private int followGeneration;
  private boolean storeFailing;
  private long failingSinceMs;
  private long retryDelayMs = READ_RETRY_MS;
  private long lastChangeRevision;
  private long watchRevision;
  private long rulesEra;

  /**
   * Creates a controller that knows no configuration.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs changes
   * @param store the store that operators write the configuration to
   * @param isReader whether this host watches the store
   * @param isHostStart whether a host is known to have registered at a revision of the store
   */
  public ConfigurationController(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      BooleanSupplier isReader,
      LongPredicate isHostStart) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.isReader = isReader;
    this.isHostStart = isHostStart;
  }

  /**
   * Starts to read and watch the configuration.
   *
   * @param listener runs after each change, on the event loop
   * @param snapshotReceiver receives each changed configuration that other hosts may not have
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
   * Returns the matcher for the routes in force.
   *
   * @return the matcher, without routes before a configuration is known
   */
  public RouteMatcher routeMatcher() {
    return routeMatcher;
  }

  /**
   * Returns the API keys in force.
   *
   * @return the keys of all workspaces, none before a configuration is known
   */
  public WorkspaceKeys workspaceKeys() {
    return workspaceKeys;
  }

  /**
   * Returns the age of what this host has read of the configuration.
   *
   * @return milliseconds since the last successful call was made; more than any real age before
   *     there was one
   */
  public long readAgeMs() {
    return clock.getAsLong() - lastReadAtMs;
  }

  /**
   * Checks whether there may be a change that this host does not have yet: another host has lately
   * announced one, or the store has changed at a revision that is not explained. An announcement is
   * forgotten after a while, because the host that made it may have been wrong.
   *
   * @return true until the change is in force here
   */
  public boolean mayBeBehind() {
    boolean announced =
        isBehind(announcedRevision)
            && clock.getAsLong() - announcedAtMs <= ConfigurationStaleness.MAX_UNCONFIRMED_MS;
    return announced || hasUnexplainedRevisions();
  }

  /**
   * Returns the limits on what callers may send.
   *
   * @return the limits in force, or defaults before a configuration is known
   */
  public CallerLimits limits() {
    return activeConfiguration == null ? CallerLimits.DEFAULT : activeConfiguration.limits();
  }

  /**
   * Returns the revision at which the configuration in force was last changed.
   *
   * @return the store's revision of the change, 0 before one is known
   */
  public long lastChangeRevision() {
    return lastChangeRevision;
  }

  /**
   * Returns whether the store is unavailable.
   *
   * @return true from a failed call until the next that succeeds
   */
  public boolean isStoreFailing() {
    return storeFailing;
  }

  /** Resumes watching the store if this host has become a reader. */
  public void updateReaderRole() {
    if (followingPaused && isReader.getAsBoolean()) {
      followingPaused = false;
      // Changes may have been missed since the last read, so everything is read before watching.
      fullyRead = false;
      log.event("configuration_reader").write();
      followStore();
    }
  }

  /**
   * Returns the configuration in force with the revision of its newest change.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<ConfigurationSnapshot> snapshot() {
    return activeConfiguration()
        .map(current -> new ConfigurationSnapshot(current, lastChangeRevision, rulesEra));
  }

  /**
   * Handles the configuration in force at another host.
   *
   * @param received the configuration
   */
  public void onSnapshot(ConfigurationSnapshot received) {
    SiteConfiguration receivedConfiguration = received.configuration();
    if (activeConfiguration != null
        && receivedConfiguration.version() < activeConfiguration.version()) {
      return;
    }
    Map<String, Boolean> evacuations = new HashMap<>();
    receivedConfiguration.evacuated().forEach(dataCentre -> evacuations.put(dataCentre, true));
    var rules =
        new ConfigurationChange.RoutingRules(
            receivedConfiguration.version(),
            receivedConfiguration.routes(),
            receivedConfiguration.services(),
            receivedConfiguration.limits(),
            receivedConfiguration.workspaces());
    Map<String, Optional<RolloutOrder>> rollouts = new HashMap<>();
    receivedConfiguration
        .rollouts()
        .forEach((service, order) -> rollouts.put(service, Optional.of(order)));
    apply(
        new ConfigurationChange(
            receivedConfiguration.revision(),
            received.lastChangeRevision(),
            true,
            Optional.of(rules),
            evacuations,
            rollouts),
        received.rulesEra());
  }

  /** Reads the configuration, because the store was restored to an older state. */
  public void onStoreRestored() {
    log.event("store_restored_configuration")
        .with("version", activeConfiguration == null ? 0 : activeConfiguration.version())
        .write();
    if (fullyRead && !followingPaused) {
      // A watch from a revision of the era before may miss changes, or be answered never.
      fullyRead = false;
      followStore();
    } else if (fullyRead) {
      readUnwatched();
    }
  }

  /**
   * Handles the announcement of a revision by another host. If the change arrives neither from that
   * host nor from the watch in time, the configuration is read from the store.
   *
   * @param revision the store's revision of the change
   * @param query queries that host for its configuration, given this host's revision
   */
  public void onRevisionAnnounced(long revision, LongConsumer query) {
    if (isBehind(revision)) {
      announcedRevision = revision;
      announcedAtMs = clock.getAsLong();
    }
    if (!rereadPending && isBehind(revision)) {
      rereadPending = true;
      query.accept(activeConfiguration == null ? 0 : activeConfiguration.revision());
      loop.schedule(() -> readIfBehind(revision), ANNOUNCED_CHANGE_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isBehind(long revision) {
    if (activeConfiguration == null) {
      return revision != UNKNOWN_REVISION;
    }
    return activeConfiguration.revision() < revision;
  }

  private void readIfBehind(long revision) {
    if (!isBehind(revision)) {
      rereadPending = false;
      return;
    }
    log.event("configuration_watch_silent").with("revision", revision).write();
    reread();
  }

  /**
   * Handles revisions of the store at which something other than upstreams changed. If neither the
   * watch nor another host explains them in time, the configuration is read.
   *
   * @param revisions the revisions, possibly none
   */
  public void onOtherRevisions(Collection<Long> revisions) {
    unexplainedRevisions.addAll(revisions);
    if (!explanationPending && hasUnexplainedRevisions()) {
      explanationPending = true;
      loop.schedule(this::readIfUnexplained, EXPLANATION_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void readIfUnexplained() {
    explanationPending = false;
    if (hasUnexplainedRevisions()) {
      log.event("configuration_unexplained_change")
          .with("revision", Collections.max(unexplainedRevisions))
          .write();
      readUnwatched();
    }
  }

  private boolean hasUnexplainedRevisions() {
    long knownRevision =
        activeConfiguration == null ? Long.MAX_VALUE : activeConfiguration.revision();
    unexplainedRevisions.removeIf(
        revision -> revision <= knownRevision || isHostStart.test(revision));
    return !unexplainedRevisions.isEmpty();
  }

  /** Reads the configuration once, because changes may not have been delivered to this host. */
  public void readUnwatched() {
    if (!rereadPending) {
      rereadPending = true;
      reread();
    }
  }

  private void reread() {
    long requestedAtMs = clock.getAsLong();
    store
        .readConfiguration()
        .whenComplete(
            (change, failure) -> {
              rereadPending = false;
              if (failure == null) {
                lastReadAtMs = Math.max(lastReadAtMs, requestedAtMs);
                applyFromStore(change);
              }
            });
  }

  private void followStore() {
    int generation = ++followGeneration;
    if (fullyRead && !isReader.getAsBoolean()) {
      followingPaused = true;
      return;
    }
    long requestedAtMs = clock.getAsLong();
    CompletableFuture<ConfigurationChange> call =
        fullyRead
            ? store.watchConfiguration(watchRevision, WATCH_TIMEOUT_MS)
            : store.readConfiguration();
    call.whenComplete(
        (change, failure) -> {
          if (generation != followGeneration) {
            return;
          }
          if (failure == null) {
            lastReadAtMs = Math.max(lastReadAtMs, requestedAtMs);
            onStoreRecovered();
            onStoreChange(change);
          } else {
            onStoreFailure(StoreException.of(failure));
          }
        });
  }

  private void onStoreChange(ConfigurationChange change) {
    watchRevision = change.revision();
    // The first configuration is always read in full, so that older entries are not missed.
    fullyRead = change.fullSnapshot() || activeConfiguration != null;
    if (fullyRead) {
      applyFromStore(change);
    }
    followStore();
  }

  /**
   * Retries soon while this host knows no configuration, and less and less often once it does:
   * other hosts announce changes, and calls that the store refuses cost as much as others.
   */
  private void scheduleRetry() {
    loop.schedule(this::followStore, retryDelayMs, TimeUnit.MILLISECONDS);
    if (activeConfiguration != null) {
      retryDelayMs = Math.min(MAX_READ_RETRY_MS, retryDelayMs * 2);
    }
  }

  private void onStoreRecovered() {
    retryDelayMs = READ_RETRY_MS;
    if (storeFailing) {
      storeFailing = false;
      log.event("store_regained").with("after_ms", clock.getAsLong() - failingSinceMs).write();
    }
  }

  private void onStoreFailure(StoreException failure) {
    // A failed watch may have missed changes that a new watch does not deliver, so read all.
    boolean wasWatching = fullyRead;
    fullyRead = false;
    if (failure.kind() == StoreException.Kind.HISTORY_UNAVAILABLE && wasWatching) {
      log.event("configuration_history_gone").write();
      followStore();
      return;
    }
    if (!storeFailing) {
      storeFailing = true;
      failingSinceMs = clock.getAsLong();
      log.event("store_lost").with("cause", String.valueOf(failure.getMessage())).write();
    }
    if (wasWatching) {
      followStore();
    } else {
      scheduleRetry();
    }
  }

  private void applyFromStore(ConfigurationChange change) {
    apply(change, StoreRevision.eraOf(change.revision()));
  }

  /** Reads the store again when its older rules would replace those in force. */
  private void scheduleReadOfHeldRules() {
    if (heldRulesReadPending || !holdsRules()) {
      return;
    }
    heldRulesReadPending = true;
    long waitMs = Math.max(READ_RETRY_MS, restoredRules.remainingMs(clock.getAsLong()));
    log.event("configuration_held").with("for_ms", waitMs).write();
    loop.schedule(
        () -> {
          heldRulesReadPending = false;
          if (holdsRules()) {
            reread();
          }
        },
        waitMs,
        TimeUnit.MILLISECONDS);
  }

  /** Checks whether the rules in force were read before the restore that is known. */
  private boolean holdsRules() {
    return activeConfiguration != null
        && rulesEra < StoreRevision.eraOf(activeConfiguration.revision());
  }

  /**
   * Applies a change.
   *
   * @param change the change
   * @param changeRulesEra the store's era in which the rules of the change were read
   */
  private void apply(ConfigurationChange change, long changeRulesEra) {
    SiteConfiguration previous = activeConfiguration;
    if (previous != null
        && (change.revision() < previous.revision()
            || change.revision() == previous.revision() && !holdsRules())) {
      return;
    }
    boolean takesRules = takesRules(previous, change, changeRulesEra);
    boolean revisionKnown = change.lastChangeRevision() > lastChangeRevision;
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
    Map<String, RolloutOrder> rollouts = mergeRollouts(previous, change);
    SiteConfiguration next = merge(previous, change, takesRules, evacuated, rollouts);
    if (next == null) {
      return;
    }
    activeConfiguration = next;
    rulesEra = takesRules ? changeRulesEra : rulesEra;
    watchRevision = Math.max(watchRevision, next.revision());
    scheduleReadOfHeldRules();
    boolean rulesChanged = previous == null || takesRules && !hasSameRules(previous, next);
    if (rulesChanged) {
      routeMatcher = new RouteMatcher(next.routes());
      workspaceKeys = new WorkspaceKeys(next.workspaces().values());
      logSharedKeys(next.version());
    }
    boolean changed =
        previous == null
            || rulesChanged
            || !previous.evacuated().equals(evacuated)
            || !previous.rollouts().equals(rollouts);
    if (changed) {
      log.event("configuration")
          .with("version", next.version())
          .with("revision", next.revision())
          .with("evacuated", evacuated.toString())
          .with("rollouts", rollouts.keySet().toString())
          .with("workspaces", next.workspaces().size())
          .write();
      changeListener.run();
    }
    if (changed && (previous != null || !change.fullSnapshot())) {
      if (!revisionKnown) {
        // A full snapshot does not tell the revision at which an evacuation was taken back.
        lastChangeRevision = change.revision();
      }
      snapshotListener.accept(new ConfigurationSnapshot(next, lastChangeRevision, rulesEra));
    }
  }

  private void logSharedKeys(long version) {
    if (workspaceKeys.sharedKeyCount() > 0) {
      log.event("api_keys_shared")
          .with("version", version)
          .with("keys", workspaceKeys.sharedKeyCount())
          .with(
              "workspaces",
              workspaceKeys.sharingWorkspaces().stream()
                  .limit(MAX_LOGGED_WORKSPACES)
                  .toList()
                  .toString())
          .write();
    }
  }

  private static Map<String, RolloutOrder> mergeRollouts(
      @Nullable SiteConfiguration previous, ConfigurationChange change) {
    Map<String, RolloutOrder> rollouts = new HashMap<>();
    if (previous != null && !change.fullSnapshot()) {
      rollouts.putAll(previous.rollouts());
    }
    change
        .rollouts()
        .forEach(
            (service, order) ->
                order.ifPresentOrElse(
                    placed -> rollouts.put(service, placed), () -> rollouts.remove(service)));
    return rollouts;
  }

  private static boolean hasSameRules(SiteConfiguration a, SiteConfiguration b) {
    return a.version() == b.version()
        && a.routes().equals(b.routes())
        && a.services().equals(b.services())
        && a.limits().equals(b.limits())
        && a.workspaces().equals(b.workspaces());
  }

  private boolean takesRules(
      @Nullable SiteConfiguration previous, ConfigurationChange change, long changeRulesEra) {
    if (change.rules().isEmpty() || previous == null) {
      return change.rules().isPresent();
    }
    return restoredRules.replaces(
        changeRulesEra,
        rulesEra,
        change.rules().get().version(),
        previous.version(),
        clock.getAsLong());
  }

  private static @Nullable SiteConfiguration merge(
      @Nullable SiteConfiguration previous,
      ConfigurationChange change,
      boolean takesRules,
      Set<String> evacuated,
      Map<String, RolloutOrder> rollouts) {
    if (takesRules) {
      ConfigurationChange.RoutingRules routingRules = change.rules().orElseThrow();
      return new SiteConfiguration(
          change.revision(),
          routingRules.version(),
          routingRules.routes(),
          routingRules.services(),
          routingRules.limits(),
          evacuated,
          routingRules.workspaces(),
          rollouts);
    }
    if (previous == null) {
      return null;
    }
    return new SiteConfiguration(
        change.revision(),
        previous.version(),
        previous.routes(),
        previous.services(),
        previous.limits(),
        evacuated,
        previous.workspaces(),
        rollouts);
  }
}
