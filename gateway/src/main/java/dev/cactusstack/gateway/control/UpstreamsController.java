package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.registrations.RegistrationAge;
import dev.cactusstack.decisions.registrations.RegistrationState;
import dev.cactusstack.decisions.registrations.StoreOutageDetector;
import dev.cactusstack.decisions.registrations.SuspensionDetector;
import dev.cactusstack.decisions.registrations.UpstreamRegistry;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Tracks the upstreams that are registered in the store.
 *
 * <p>Registrations are polled at short intervals, but only while this host places requests of other
 * hosts. To place its own, it reads them when they are not fresh. A registration that is missing
 * after an outage of the store is kept for a short time, because registrations expire during an
 * outage and upstreams then register again. Confined to the event loop.
 */
public final class UpstreamsController {
  private static final long POLL_INTERVAL_MS = 700;
  private static final long FRESHNESS_MS = RegistrationAge.MAX_FOR_PLACEMENT_MS;
  private static final long POLL_AFTER_USE_MS = 4_000;
  private static final long MAX_READ_WAIT_MS = 150;

  /**
   * Longer, because without any registration no request can be placed, and by old ones requests
   * reach upstreams that have left.
   */
  private static final long MAX_NEEDED_READ_WAIT_MS = 600;

  /** Age of registrations from which an upstream may have completed a drain since. */
  private static final long DRAIN_MS = 2_000;

  private static final long RENEWAL_TIME_MS = 2_200;
  private static final long UNKNOWN_REVISION = -1;
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long FAILURE_MEMORY_MS = 5_000;
  private static final long FAILURE_LOG_INTERVAL_MS = 3_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final LongSupplier timeOfDay;
  private final EventLog log;
  private final SiteStore store;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final BooleanSupplier othersReadStore;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final StoreOutageDetector outageDetector = new StoreOutageDetector(RENEWAL_TIME_MS);
  private final List<Runnable> waitingTasks = new ArrayList<>();
  private final SuspensionDetector suspensionDetector;
  private Runnable changeListener = () -> {};
  private Consumer<List<Long>> otherRevisionsListener = revisions -> {};
  private Runnable storeRegainedListener = () -> {};
  private long revision = UNKNOWN_REVISION;
  private long lastReadAtMs = NEVER;
  private long lastUsedAtMs = NEVER;
  private long lastFailureAtMs = NEVER;
  private long readRequestedAtMs = NEVER;
  private boolean readInProgress;
  private boolean pollScheduled;
  private boolean restored;

  /**
   * Creates a controller that knows no upstreams.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param timeOfDay the time of day, in milliseconds, which also counts while the machine is
   *     suspended
   * @param log logs changes of upstreams
   * @param store the store that upstreams register in
   * @param configuration supplies the configuration in force
   * @param othersReadStore whether another host reports that it has lately read the store
   */
  public UpstreamsController(
      EventLoop loop,
      LongSupplier clock,
      LongSupplier timeOfDay,
      EventLog log,
      SiteStore store,
      Supplier<Optional<SiteConfiguration>> configuration,
      BooleanSupplier othersReadStore) {
    this.loop = loop;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.suspensionDetector = new SuspensionDetector(clock.getAsLong(), timeOfDay.getAsLong());
    this.log = log;
    this.store = store;
    this.configuration = configuration;
    this.othersReadStore = othersReadStore;
  }

  /**
   * Sets the listener that runs after each change.
   *
   * @param listener runs on the event loop
   */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Sets the listeners for what reads tell about the rest of the store. They run on the event loop.
   *
   * @param otherRevisions receives after each read the revisions at which something other than
   *     upstreams changed, possibly none
   * @param storeRegained runs after the first read that succeeds after one that failed
   */
  public void onStoreRead(Consumer<List<Long>> otherRevisions, Runnable storeRegained) {
    otherRevisionsListener = otherRevisions;
    storeRegainedListener = storeRegained;
  }

  /**
   * Handles a restore of the store to an older state. Upstreams that have registered since that
   * state are missing in it until they register again, like after an outage.
   */
  public void onStoreRestored() {
    restored = true;
    if (isPolling()) {
      read();
    }
  }

  /** Handles a change of the configuration in force. */
  public void onConfigurationChanged() {
    changeListener.run();
  }

  /**
   * Runs a task once the registrations are fresh or cannot be read in time.
   *
   * @param task the task to run
   */
  public void runWhenFresh(Runnable task) {
    addSuspension();
    long now = clock.getAsLong();
    if (now - lastReadAtMs < FRESHNESS_MS || now - lastFailureAtMs < FRESHNESS_MS) {
      task.run();
      return;
    }
    waitingTasks.add(task);
    if (waitingTasks.size() == 1) {
      boolean readNeeded = isNeverRead() || now - lastReadAtMs >= DRAIN_MS;
      long waitMs = readNeeded ? MAX_NEEDED_READ_WAIT_MS : MAX_READ_WAIT_MS;
      loop.schedule(this::runWaitingTasks, waitMs, TimeUnit.MILLISECONDS);
    }
    read();
  }

  /** Polls the registrations for some time, because this host places requests of other hosts. */
  public void keepFresh() {
    lastUsedAtMs = clock.getAsLong();
    schedulePoll();
  }

  /**
   * Returns the age of the registrations.
   *
   * @return milliseconds since the last successful read was requested
   */
  public long ageMs() {
    addSuspension();
    return clock.getAsLong() - lastReadAtMs;
  }

  /**
   * Returns the age of what is known of an upstream.
   *
   * @param upstreamId the upstream's id
   * @return milliseconds since the last successful read that found its registration was requested
   */
  public long ageMs(String upstreamId) {
    return registry.isLapsed(upstreamId)
        ? clock.getAsLong() - outageDetector.outageBeganAtMs()
        : ageMs();
  }

  /**
   * Returns whether the registrations have never been read.
   *
   * @return true until the first successful read
   */
  public boolean isNeverRead() {
    return lastReadAtMs == NEVER;
  }

  /**
   * Returns whether reads of the registrations fail.
   *
   * @return true from a failed read until one succeeds, or until the failure is so long ago that it
   *     says nothing about the store any more
   */
  public boolean isStoreFailing() {
    return lastFailureAtMs > lastReadAtMs
        && clock.getAsLong() - lastFailureAtMs < FAILURE_MEMORY_MS;
  }

  /**
   * Returns the upstreams that may receive requests.
   *
   * @param service the service's name
   * @return their registrations with the remaining warmup from now
   */
  public List<UpstreamRegistration> usableUpstreams(String service) {
    List<UpstreamRegistration> usable =
        new ArrayList<>(registry.usable(service, clock.getAsLong()));
    usable.removeIf(upstream -> isEvacuated(upstream.dataCentre()));
    return usable;
  }

  /**
   * Returns the settings of a service.
   *
   * @param service the service's name
   * @return the settings; defaults without warmup if the service is not configured
   */
  public ServiceSettings serviceSettings(String service) {
    return configuration
        .get()
        .map(c -> c.services().get(service))
        .orElseGet(() -> new ServiceSettings(service, "", 1, 0, 0));
  }

  private boolean isEvacuated(String dataCentre) {
    return configuration.get().map(c -> c.evacuated().contains(dataCentre)).orElse(false);
  }

  /** Adds time that the monotonic clock did not count to the age of the registrations. */
  private void addSuspension() {
    long suspendedMs = suspensionDetector.suspendedMs(clock.getAsLong(), timeOfDay.getAsLong());
    if (suspendedMs > 0 && lastReadAtMs != NEVER) {
      lastReadAtMs -= suspendedMs;
      lastFailureAtMs -= suspendedMs;
      readRequestedAtMs -= suspendedMs;
    }
  }

  private void schedulePoll() {
    if (!pollScheduled) {
      pollScheduled = true;
      loop.schedule(this::poll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void poll() {
    pollScheduled = false;
    if (isPolling()) {
      read();
      schedulePoll();
    }
  }

  private boolean isPolling() {
    return clock.getAsLong() - lastUsedAtMs < POLL_AFTER_USE_MS;
  }

  private void read() {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    readRequestedAtMs = clock.getAsLong();
    CompletableFuture<UpstreamChange> call =
        revision == UNKNOWN_REVISION ? store.readUpstreams() : store.readUpstreamChanges(revision);
    boolean othersRead = othersReadStore.getAsBoolean();
    call.whenComplete(
        (change, failure) -> {
          readInProgress = false;
          if (failure == null) {
            apply(change);
            runWaitingTasks();
          } else {
            onReadFailed(StoreException.of(failure), othersRead);
          }
        });
  }

  private void onReadFailed(StoreException failure, boolean othersRead) {
    if (failure.kind() == StoreException.Kind.HISTORY_UNAVAILABLE && revision != UNKNOWN_REVISION) {
      log.event("upstreams_history_gone").with("revision", revision).write();
      revision = UNKNOWN_REVISION;
      read();
      return;
    }
    long now = clock.getAsLong();
    outageDetector.recordFailure(readRequestedAtMs, othersRead);
    if (now - lastFailureAtMs > FAILURE_LOG_INTERVAL_MS) {
      log.event("upstreams_unread")
          .with("cause", String.valueOf(failure.getMessage()))
          .with("age_ms", now - lastReadAtMs)
          .write();
    }
    lastFailureAtMs = now;
    runWaitingTasks();
    if (isPolling() && now - readRequestedAtMs >= POLL_INTERVAL_MS) {
      read();
    }
  }

  private void runWaitingTasks() {
    List<Runnable> tasks = List.copyOf(waitingTasks);
    waitingTasks.clear();
    tasks.forEach(Runnable::run);
  }

  private void apply(UpstreamChange change) {
    addSuspension();
    long now = clock.getAsLong();
    boolean regained = lastFailureAtMs > lastReadAtMs;
    revision = change.revision();
    // The response may have waited while this host was frozen, so its age counts from the request.
    lastReadAtMs = readRequestedAtMs;
    if (restored && change.fullSnapshot()) {
      restored = false;
      outageDetector.recordRestore();
    }
    outageDetector.recordRead(readRequestedAtMs, now);
    Set<String> missing =
        change.fullSnapshot() ? new HashSet<>(registry.registeredIds()) : new HashSet<>();
    missing.removeAll(change.registrations().keySet());
    change
        .registrations()
        .forEach(
            (id, announced) -> {
              if (announced.isPresent()) {
                onAnnounced(announced.get(), now);
              } else {
                missing.add(id);
              }
            });
    missing.forEach(id -> onMissing(id, now));
    registry.forgetEnded(now);
    changeListener.run();
    if (regained) {
      storeRegainedListener.run();
    }
    otherRevisionsListener.accept(change.otherRevisions());
  }

  private void onAnnounced(UpstreamRegistration upstream, long now) {
    registry
        .announce(upstream, now)
        .ifPresent(
            state ->
                upstreamEvent(upstream.id(), state)
                    .with("service", upstream.service())
                    .with("address", upstream.address().toString())
                    .with("data_centre", upstream.dataCentre())
                    .with("cold_ms", upstream.warmupRemainingMs())
                    .write());
  }

  private void onMissing(String id, long now) {
    registry
        .remove(id, outageDetector.renewedAtMs(), now)
        .ifPresent(state -> upstreamEvent(id, state).write());
  }

  private EventLine upstreamEvent(String id, RegistrationState state) {
    return log.event("upstream")
        .with("id", id)
        .with("state", state.label())
        .with("revision", revision);
  }
}
