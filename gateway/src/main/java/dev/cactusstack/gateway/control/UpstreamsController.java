package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What this host believes of upstreams.
 *
 * <p>The entries are read at short intervals while this host places requests, and only then. An
 * entry that is missing right after the store was away is used on for a short while, because
 * upstreams whose entries lapsed meanwhile announce themselves again. Confined to the event loop.
 */
public final class UpstreamsController {
  private static final long POLL_INTERVAL_MS = 700;
  private static final long FRESHNESS_MS = 1_000;
  private static final long STALE_AFTER_MS = 1_300;
  private static final long POLL_AFTER_USE_MS = 4_000;
  private static final long MAX_READ_WAIT_MS = 150;
  private static final long LAPSED_RETENTION_MS = 2_200;
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long RECENT_OUTAGE_MS = 3_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final Map<String, KnownUpstream> upstreams = new HashMap<>();
  private final List<Runnable> waitingTasks = new ArrayList<>();
  private Runnable changeListener = () -> {};
  private long revision = -1;
  private long lastReadAtMs = NEVER;
  private long lastUsedAtMs = Long.MIN_VALUE / 2;
  private long lastFailureAtMs = Long.MIN_VALUE / 2;
  private boolean readInProgress;
  private boolean pollScheduled;

  /**
   * Creates a controller that knows no upstreams.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where changes of belief are told
   * @param store where upstreams announce themselves
   * @param configuration the configuration in force
   */
  public UpstreamsController(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      Supplier<Optional<SiteConfiguration>> configuration) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.configuration = configuration;
  }

  /**
   * Sets what runs after each change.
   *
   * @param listener runs on the event loop
   */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /** Tells that the configuration in force has changed. */
  public void onConfigurationChanged() {
    changeListener.run();
  }

  /**
   * Runs something once the entries are fresh, or can't be read.
   *
   * @param task what to run
   */
  public void runWhenFresh(Runnable task) {
    long now = clock.getAsLong();
    lastUsedAtMs = now;
    if (now - lastReadAtMs < FRESHNESS_MS || now - lastFailureAtMs < FRESHNESS_MS) {
      schedulePoll();
      task.run();
      return;
    }
    waitingTasks.add(task);
    if (waitingTasks.size() == 1) {
      loop.schedule(this::runWaitingTasks, MAX_READ_WAIT_MS, TimeUnit.MILLISECONDS);
    }
    read();
  }

  /**
   * Tells whether what is believed is older than an upstream's leaving may go unnoticed.
   *
   * @return true when the entries could not be read lately
   */
  public boolean isStale() {
    return clock.getAsLong() - lastReadAtMs > STALE_AFTER_MS;
  }

  /**
   * Tells whether nothing is known of upstreams.
   *
   * @return true until the entries are read for the first time
   */
  public boolean isNeverRead() {
    return lastReadAtMs == NEVER;
  }

  /**
   * Tells whether the last read of the entries failed.
   *
   * @return true until a read succeeds
   */
  public boolean isStoreFailing() {
    return lastFailureAtMs > lastReadAtMs;
  }

  /**
   * Lists the upstreams that may get work.
   *
   * @param service the service's name
   * @return their entries, with how long each is cold from now
   */
  public List<UpstreamRegistration> usableUpstreams(String service) {
    long now = clock.getAsLong();
    List<UpstreamRegistration> out = new ArrayList<>();
    for (KnownUpstream k : upstreams.values()) {
      UpstreamRegistration e = k.registration;
      if (e.service().equals(service) && !e.leaving() && !isEvacuated(e.dataCentre())) {
        out.add(withWarmupRemaining(e, Math.max(0, k.warmupEndsAtMs - now)));
      }
    }
    return out;
  }

  /**
   * Returns what operators say of a service.
   *
   * @param service the service's name
   * @return the rule; one for a service without cold upstreams if operators say nothing
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

  private static UpstreamRegistration withWarmupRemaining(UpstreamRegistration e, long coldForMs) {
    return new UpstreamRegistration(
        e.id(),
        e.service(),
        e.address(),
        e.dataCentre(),
        e.slots(),
        e.leaving(),
        coldForMs,
        e.startedAtMs());
  }

  private void schedulePoll() {
    if (!pollScheduled) {
      pollScheduled = true;
      loop.schedule(this::poll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void poll() {
    pollScheduled = false;
    if (clock.getAsLong() - lastUsedAtMs < POLL_AFTER_USE_MS) {
      read();
      schedulePoll();
    }
  }

  private void read() {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    CompletableFuture<UpstreamChange> call =
        revision < 0 ? store.readUpstreams() : store.readUpstreamChanges(revision);
    call.whenComplete(
        (change, failure) -> {
          readInProgress = false;
          if (failure == null) {
            apply(change);
          } else {
            onReadFailed(failure);
          }
          runWaitingTasks();
        });
  }

  private void onReadFailed(Throwable failure) {
    if (failure instanceof StoreException f && f.kind() == StoreException.Kind.HISTORY_UNAVAILABLE) {
      revision = -1;
      read();
      return;
    }
    long now = clock.getAsLong();
    if (now - lastFailureAtMs > RECENT_OUTAGE_MS) {
      log.event("upstreams_unread")
          .with("cause", String.valueOf(failure.getMessage()))
          .with("age_ms", now - lastReadAtMs)
          .write();
    }
    lastFailureAtMs = now;
  }

  private void runWaitingTasks() {
    List<Runnable> tasks = List.copyOf(waitingTasks);
    waitingTasks.clear();
    if (!tasks.isEmpty()) {
      schedulePoll();
    }
    tasks.forEach(Runnable::run);
  }

  private void apply(UpstreamChange change) {
    long now = clock.getAsLong();
    revision = change.revision();
    lastReadAtMs = now;
    change
        .registrations()
        .forEach((id, announced) -> announced.ifPresentOrElse(present -> onAnnounced(present, now), () -> onMissing(id, now)));
    if (change.fullSnapshot()) {
      for (String id : List.copyOf(upstreams.keySet())) {
        if (!change.registrations().containsKey(id)) {
          onMissing(id, now);
        }
      }
    }
    upstreams.values().removeIf(knownUpstream -> knownUpstream.isExpired(now));
    changeListener.run();
  }

  private void onAnnounced(UpstreamRegistration e, long now) {
    KnownUpstream old = upstreams.get(e.id());
    if (old != null && e.startedAtMs() < old.registration.startedAtMs()) {
      return;
    }
    boolean material =
        old == null
            || !e.isSameIncarnation(old.registration)
            || e.leaving() != old.registration.leaving()
            || !e.address().equals(old.registration.address());
    if (material) {
      log.event("upstream")
          .with("id", e.id())
          .with("service", e.service())
          .with("address", e.address().toString())
          .with("data_centre", e.dataCentre())
          .with("state", e.leaving() ? "leaving" : "serving")
          .with("cold_ms", e.warmupRemainingMs())
          .with("revision", revision)
          .write();
    }
    upstreams.put(e.id(), new KnownUpstream(e, now + e.warmupRemainingMs()));
  }

  private void onMissing(String id, long now) {
    KnownUpstream k = upstreams.get(id);
    if (k == null || k.removeAtMs != Long.MAX_VALUE) {
      return;
    }
    boolean lapsed = now - lastFailureAtMs < RECENT_OUTAGE_MS;
    k.removeAtMs = lapsed ? now + LAPSED_RETENTION_MS : now;
    log.event("upstream")
        .with("id", id)
        .with("service", k.registration.service())
        .with("state", lapsed ? "lapsed" : "gone")
        .with("revision", revision)
        .write();
  }

  private static final class KnownUpstream {
    private final UpstreamRegistration registration;
    private final long warmupEndsAtMs;
    private long removeAtMs = Long.MAX_VALUE;

    KnownUpstream(UpstreamRegistration registration, long warmupEndsAtMs) {
      this.registration = registration;
      this.warmupEndsAtMs = warmupEndsAtMs;
    }

    boolean isExpired(long nowMs) {
      return nowMs >= removeAtMs;
    }
  }
}
