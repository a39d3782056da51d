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
  private static final long POLL_MS = 700;
  private static final long FRESH_MS = 1_000;
  private static final long STALE_MS = 1_300;
  private static final long USED_MS = 4_000;
  private static final long READ_PATIENCE_MS = 150;
  private static final long LAPSE_MS = 2_200;
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long OUTAGE_MEMORY_MS = 3_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final Map<String, Known> known = new HashMap<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private Runnable changed = () -> {};
  private long revision = -1;
  private long readAtMs = NEVER;
  private long usedAtMs = Long.MIN_VALUE / 2;
  private long failedAtMs = Long.MIN_VALUE / 2;
  private boolean reading;
  private boolean polling;

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
    changed = listener;
  }

  /** Tells that the configuration in force has changed. */
  public void onConfigurationChanged() {
    changed.run();
  }

  /**
   * Runs something once the entries are fresh, or can't be read.
   *
   * @param task what to run
   */
  public void runWhenFresh(Runnable task) {
    long now = clock.getAsLong();
    usedAtMs = now;
    if (now - readAtMs < FRESH_MS || now - failedAtMs < FRESH_MS) {
      pollLater();
      task.run();
      return;
    }
    waiting.add(task);
    if (waiting.size() == 1) {
      loop.schedule(this::runWaiting, READ_PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
    read();
  }

  /**
   * Tells whether what is believed is older than an upstream's leaving may go unnoticed.
   *
   * @return true when the entries could not be read lately
   */
  public boolean isStale() {
    return clock.getAsLong() - readAtMs > STALE_MS;
  }

  /**
   * Tells whether nothing is known of upstreams.
   *
   * @return true until the entries are read for the first time
   */
  public boolean isNeverRead() {
    return readAtMs == NEVER;
  }

  /**
   * Tells whether the last read of the entries failed.
   *
   * @return true until a read succeeds
   */
  public boolean isStoreFailing() {
    return failedAtMs > readAtMs;
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
    for (Known k : known.values()) {
      UpstreamRegistration e = k.entry;
      if (e.service().equals(service) && !e.leaving() && !evacuated(e.dataCentre())) {
        out.add(coldFrom(e, Math.max(0, k.coldUntilMs - now)));
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

  private boolean evacuated(String dataCentre) {
    return configuration.get().map(c -> c.evacuated().contains(dataCentre)).orElse(false);
  }

  private static UpstreamRegistration coldFrom(UpstreamRegistration e, long coldForMs) {
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

  private void pollLater() {
    if (!polling) {
      polling = true;
      loop.schedule(this::poll, POLL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void poll() {
    polling = false;
    if (clock.getAsLong() - usedAtMs < USED_MS) {
      read();
      pollLater();
    }
  }

  private void read() {
    if (reading) {
      return;
    }
    reading = true;
    CompletableFuture<UpstreamChange> call =
        revision < 0 ? store.readUpstreams() : store.readUpstreamChanges(revision);
    call.whenComplete(
        (change, failure) -> {
          reading = false;
          if (failure == null) {
            apply(change);
          } else {
            failed(failure);
          }
          runWaiting();
        });
  }

  private void failed(Throwable failure) {
    if (failure instanceof StoreException f
        && f.kind() == StoreException.Kind.HISTORY_UNAVAILABLE) {
      revision = -1;
      read();
      return;
    }
    long now = clock.getAsLong();
    if (now - failedAtMs > OUTAGE_MEMORY_MS) {
      log.event("upstreams_unread")
          .with("cause", String.valueOf(failure.getMessage()))
          .with("age_ms", now - readAtMs)
          .write();
    }
    failedAtMs = now;
  }

  private void runWaiting() {
    List<Runnable> tasks = List.copyOf(waiting);
    waiting.clear();
    if (!tasks.isEmpty()) {
      pollLater();
    }
    tasks.forEach(Runnable::run);
  }

  private void apply(UpstreamChange change) {
    long now = clock.getAsLong();
    revision = change.revision();
    readAtMs = now;
    change
        .registrations()
        .forEach((id, e) -> e.ifPresentOrElse(x -> announced(x, now), () -> missing(id, now)));
    if (change.fullSnapshot()) {
      for (String id : List.copyOf(known.keySet())) {
        if (!change.registrations().containsKey(id)) {
          missing(id, now);
        }
      }
    }
    known.values().removeIf(k -> k.gone(now));
    changed.run();
  }

  private void announced(UpstreamRegistration e, long now) {
    Known old = known.get(e.id());
    if (old != null && e.startedAtMs() < old.entry.startedAtMs()) {
      return;
    }
    boolean material =
        old == null
            || !e.isSameIncarnation(old.entry)
            || e.leaving() != old.entry.leaving()
            || !e.address().equals(old.entry.address());
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
    known.put(e.id(), new Known(e, now + e.warmupRemainingMs()));
  }

  private void missing(String id, long now) {
    Known k = known.get(id);
    if (k == null || k.goneAtMs != Long.MAX_VALUE) {
      return;
    }
    boolean lapsed = now - failedAtMs < OUTAGE_MEMORY_MS;
    k.goneAtMs = lapsed ? now + LAPSE_MS : now;
    log.event("upstream")
        .with("id", id)
        .with("service", k.entry.service())
        .with("state", lapsed ? "lapsed" : "gone")
        .with("revision", revision)
        .write();
  }

  private static final class Known {
    private final UpstreamRegistration entry;
    private final long coldUntilMs;
    private long goneAtMs = Long.MAX_VALUE;

    Known(UpstreamRegistration entry, long coldUntilMs) {
      this.entry = entry;
      this.coldUntilMs = coldUntilMs;
    }

    boolean gone(long nowMs) {
      return nowMs >= goneAtMs;
    }
  }
}
