package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.registrations.RegistrationAge;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
  private static final long FRESHNESS_MS = RegistrationAge.MAX_FOR_PLACEMENT_MS;
  private static final long MAX_READ_WAIT_MS = 150;

  /**
   * Longer, because without any registration no request can be placed, and by old ones requests
   * reach upstreams that have left.
   */
  private static final long MAX_NEEDED_READ_WAIT_MS = 600;

  /** Age of registrations from which an upstream may have completed a drain since. */
  private static final long DRAIN_MS = 2_000;

  private static final long UNKNOWN_REVISION = -1;
  private static final long FAILURE_LOG_INTERVAL_MS = 3_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final BooleanSupplier othersReadStore;
  private final RegisteredUpstreams registered;
  private final RegistrationTimes times;
  private final UpstreamPoll poll;
  private final List<Runnable> waitingTasks = new ArrayList<>();
  private Runnable changeListener = () -> {};
  private Consumer<List<Long>> otherRevisionsListener = revisions -> {};
  private Runnable storeRegainedListener = () -> {};
  private long revision = UNKNOWN_REVISION;
  private boolean readInProgress;

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
    this.log = log;
    this.store = store;
    this.configuration = configuration;
    this.othersReadStore = othersReadStore;
    this.registered = new RegisteredUpstreams(log);
    this.times = new RegistrationTimes(clock, timeOfDay);
    this.poll = new UpstreamPoll(loop, clock, this::read);
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
    registered.recordRestore();
    if (poll.isActive()) {
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
    times.addSuspension();
    long now = clock.getAsLong();
    if (times.ageMs(now) < FRESHNESS_MS || times.failureAgeMs(now) < FRESHNESS_MS) {
      task.run();
      return;
    }
    waitingTasks.add(task);
    if (waitingTasks.size() == 1) {
      boolean readNeeded = isNeverRead() || times.ageMs(now) >= DRAIN_MS;
      long waitMs = readNeeded ? MAX_NEEDED_READ_WAIT_MS : MAX_READ_WAIT_MS;
      loop.schedule(this::runWaitingTasks, waitMs, TimeUnit.MILLISECONDS);
    }
    read();
  }

  /** Polls the registrations for some time, because this host places requests of other hosts. */
  public void keepFresh() {
    poll.recordUse();
  }

  /**
   * Returns the age of the registrations.
   *
   * @return milliseconds since the last successful read was requested
   */
  public long ageMs() {
    times.addSuspension();
    return times.ageMs(clock.getAsLong());
  }

  /**
   * Returns the age of what is known of an upstream.
   *
   * @param upstreamId the upstream's id
   * @return milliseconds since the last successful read that found its registration was requested
   */
  public long ageMs(String upstreamId) {
    return registered.isLapsed(upstreamId)
        ? clock.getAsLong() - registered.outageBeganAtMs()
        : ageMs();
  }

  /**
   * Returns whether the registrations have never been read.
   *
   * @return true until the first successful read
   */
  public boolean isNeverRead() {
    return times.isNeverRead();
  }

  /**
   * Returns whether reads of the registrations fail.
   *
   * @return true from a failed read until one succeeds, or until the failure is so long ago that it
   *     says nothing about the store any more
   */
  public boolean isStoreFailing() {
    return times.isStoreFailing();
  }

  /**
   * Returns the upstreams that may receive requests.
   *
   * @param service the service's name
   * @return their registrations with the remaining warmup from now
   */
  public List<UpstreamRegistration> usableUpstreams(String service) {
    List<UpstreamRegistration> usable = registered.usable(service, clock.getAsLong());
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

  private void read() {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    times.recordRequest();
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
    registered.recordFailure(times.requestedAtMs(), othersRead);
    if (times.failureAgeMs(now) > FAILURE_LOG_INTERVAL_MS) {
      log.event("upstreams_unread")
          .with("cause", String.valueOf(failure.getMessage()))
          .with("age_ms", times.ageMs(now))
          .write();
    }
    times.recordFailure(now);
    runWaitingTasks();
    if (poll.isActive() && now - times.requestedAtMs() >= UpstreamPoll.INTERVAL_MS) {
      read();
    }
  }

  private void runWaitingTasks() {
    List<Runnable> tasks = List.copyOf(waitingTasks);
    waitingTasks.clear();
    tasks.forEach(Runnable::run);
  }

  private void apply(UpstreamChange change) {
    times.addSuspension();
    long now = clock.getAsLong();
    boolean regained = times.hasFailedSinceRead();
    revision = change.revision();
    times.recordSuccess();
    registered.merge(change, times.requestedAtMs(), now);
    changeListener.run();
    if (regained) {
      storeRegainedListener.run();
    }
    otherRevisionsListener.accept(change.otherRevisions());
  }
}
