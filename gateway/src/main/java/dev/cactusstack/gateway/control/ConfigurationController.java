package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.matching.RouteMatcher;
import dev.cactusstack.decisions.recovery.RestoredEvacuations;
import dev.cactusstack.decisions.recovery.RestoredRules;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.SiteConfiguration;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

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
 * rollout orders are those of the restored store, {@link RestoredEvacuations} decides about the
 * evacuations and {@link RestoredRules} about the rest.
 *
 * <p>{@link ConfigurationFollower} and {@link ConfigurationReads} read the store, {@link
 * MissingRevisions} and {@link HeldConfigurationReader} decide when it is read again, and {@link
 * ConfigurationState} merges what arrives.
 *
 * <p>Invariant: the configuration in force never reverts to an older revision. Confined to the
 * event loop.
 */
public final class ConfigurationController {
  private final LongSupplier clock;
  private final EventLog log;
  private final ConfigurationState state = new ConfigurationState();
  private final ConfigurationIndex index;
  private final ConfigurationReads reads;
  private final ConfigurationFollower follower;
  private final MissingRevisions missingRevisions;
  private final HeldConfigurationReader heldConfigurationReader;
  private Runnable changeListener = () -> {};
  private Consumer<ConfigurationSnapshot> snapshotListener = k -> {};

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
    this.clock = clock;
    this.log = log;
    this.index = new ConfigurationIndex(log);
    this.reads = new ConfigurationReads(clock, store, this::applyFromStore);
    this.follower =
        new ConfigurationFollower(
            loop, clock, log, store, isReader, state, reads, this::applyFromStore);
    this.missingRevisions = new MissingRevisions(loop, clock, log, state, reads, isHostStart);
    this.heldConfigurationReader = new HeldConfigurationReader(loop, clock, log, state, reads);
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
    follower.follow();
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<SiteConfiguration> activeConfiguration() {
    return state.current();
  }

  /**
   * Returns the matcher for the routes in force.
   *
   * @return the matcher, without routes before a configuration is known
   */
  public RouteMatcher routeMatcher() {
    return index.routeMatcher();
  }

  /**
   * Returns the API keys in force.
   *
   * @return the keys of all workspaces, none before a configuration is known
   */
  public WorkspaceKeys workspaceKeys() {
    return index.workspaceKeys();
  }

  /**
   * Returns the age of what this host has read of the configuration.
   *
   * @return milliseconds since the last successful call was made; more than any real age before
   *     there was one
   */
  public long readAgeMs() {
    return reads.ageMs();
  }

  /**
   * Checks whether there may be a change that this host does not have yet: another host has lately
   * announced one, or the store has changed at a revision that is not explained. An announcement is
   * forgotten after a while, because the host that made it may have been wrong.
   *
   * @return true until the change is in force here
   */
  public boolean mayBeBehind() {
    return missingRevisions.mayBeBehind();
  }

  /**
   * Returns the limits on what callers may send.
   *
   * @return the limits in force, or defaults before a configuration is known
   */
  public CallerLimits limits() {
    return state.current().map(SiteConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  /**
   * Returns the revision at which the configuration in force was last changed.
   *
   * @return the store's revision of the change, 0 before one is known
   */
  public long lastChangeRevision() {
    return state.lastChangeRevision();
  }

  /**
   * Returns whether the store is unavailable.
   *
   * @return true from a failed call until the next that succeeds
   */
  public boolean isStoreFailing() {
    return follower.isStoreFailing();
  }

  /** Resumes watching the store if this host has become a reader. */
  public void updateReaderRole() {
    follower.updateReaderRole();
  }

  /**
   * Returns the configuration in force with the revision of its newest change.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<ConfigurationSnapshot> snapshot() {
    return state.snapshot();
  }

  /**
   * Handles the configuration in force at another host.
   *
   * @param received the configuration
   */
  public void onSnapshot(ConfigurationSnapshot received) {
    long version = received.configuration().version();
    if (state.current().filter(known -> version < known.version()).isEmpty()) {
      apply(received.toChange(), received.rulesEra());
    }
  }

  /** Reads the configuration, because the store was restored to an older state. */
  public void onStoreRestored() {
    log.event("store_restored_configuration")
        .with("version", state.current().map(SiteConfiguration::version).orElse(0L))
        .write();
    follower.onStoreRestored();
  }

  /**
   * Handles the announcement of a revision by another host. If the change arrives neither from that
   * host nor from the watch in time, the configuration is read from the store.
   *
   * @param revision the store's revision of the change
   * @param query queries that host for its configuration, given this host's revision
   */
  public void onRevisionAnnounced(long revision, LongConsumer query) {
    missingRevisions.onAnnounced(revision, query);
  }

  /**
   * Handles revisions of the store at which something other than upstreams changed. If neither the
   * watch nor another host explains them in time, the configuration is read.
   *
   * @param revisions the revisions, possibly none
   */
  public void onOtherRevisions(Collection<Long> revisions) {
    missingRevisions.onOthers(revisions);
  }

  /** Reads the configuration once, because changes may not have been delivered to this host. */
  public void readUnwatched() {
    reads.readUnlessPending();
  }

  private void applyFromStore(ConfigurationChange change) {
    apply(change, StoreRevision.eraOf(change.revision()));
  }

  /**
   * Applies a change.
   *
   * @param change the change
   * @param changeRulesEra the store's era in which the rules of the change were read
   */
  private void apply(ConfigurationChange change, long changeRulesEra) {
    state.apply(change, changeRulesEra, clock.getAsLong()).ifPresent(this::onUpdate);
  }

  private void onUpdate(ConfigurationState.Update update) {
    SiteConfiguration configuration = update.configuration();
    follower.advanceTo(configuration.revision());
    heldConfigurationReader.schedule();
    if (update.rulesChanged()) {
      index.update(configuration);
    }
    if (update.changed()) {
      logChange(configuration);
      changeListener.run();
    }
    if (update.newToOthers()) {
      snapshotListener.accept(state.announce(update));
    }
  }

  private void logChange(SiteConfiguration configuration) {
    // Unlike immutable sets, hash sets have the same order in all processes.
    log.event("configuration")
        .with("version", configuration.version())
        .with("revision", configuration.revision())
        .with("evacuated", new HashSet<>(configuration.evacuated()).toString())
        .with("rollouts", new HashSet<>(configuration.rollouts().keySet()).toString())
        .with("workspaces", configuration.workspaces().size())
        .with("api_keys", index.workspaceKeys().areRequired() ? "required" : "none")
        .write();
  }
}
