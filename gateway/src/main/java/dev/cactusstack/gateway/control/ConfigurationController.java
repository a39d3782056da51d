package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.matching.RouteMatcher;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.KnownConfiguration;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreFailure;
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
  private static final long WATCH_MS = 20_000;
  private static final long WATCH_PATIENCE_MS = 300;
  private static final long RETRY_MS = 250;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final BooleanSupplier reader;
  private Runnable changed = () -> {};
  private Consumer<KnownConfiguration> news = k -> {};
  private @Nullable SiteConfiguration inForce;
  private RouteMatcher routes = new RouteMatcher(List.of());
  private boolean whole;
  private boolean resting;
  private boolean rereading;
  private boolean failing;
  private long sinceMs;
  private long changedAt;
  private long cursor;

  /**
   * Creates a controller that knows no configuration.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where changes are told
   * @param store where operators write
   * @param reader whether this host follows the store
   */
  public ConfigurationController(
      EventLoop loop, LongSupplier clock, EventLog log, SiteStore store, BooleanSupplier reader) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.reader = reader;
  }

  /**
   * Begins to follow the operators' configuration.
   *
   * @param listener runs after each change, on the event loop
   * @param teller receives each change that other hosts may not have heard of
   */
  public void start(Runnable listener, Consumer<KnownConfiguration> teller) {
    changed = listener;
    news = teller;
    follow();
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<SiteConfiguration> inForce() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Returns the routes in force.
   *
   * @return the routes, none before a configuration is known
   */
  public RouteMatcher routes() {
    return routes;
  }

  /**
   * Returns what callers may send.
   *
   * @return bounds
   */
  public CallerLimits limits() {
    return inForce == null ? CallerLimits.DEFAULT : inForce.limits();
  }

  /**
   * Returns when the configuration in force was last changed.
   *
   * @return the store's revision of the change, 0 before one is known
   */
  public long changedAt() {
    return changedAt;
  }

  /**
   * Tells whether the store does not answer.
   *
   * @return true from a failed call until the next that succeeds
   */
  public boolean failing() {
    return failing;
  }

  /** Follows the store again, if this host has become a reader. */
  public void roleMayHaveChanged() {
    if (resting && reader.getAsBoolean()) {
      resting = false;
      // Changes may have been missed since the last look, so everything is read before a watch.
      whole = false;
      log.event("configuration_reader").write();
      follow();
    }
  }

  /**
   * Returns the configuration in force with its newest change, to be told to other hosts.
   *
   * @return the configuration, or nothing before one is known
   */
  public Optional<KnownConfiguration> known() {
    return inForce().map(c -> new KnownConfiguration(c, changedAt));
  }

  /**
   * Takes in what another host has in force.
   *
   * @param k the configuration
   */
  public void told(KnownConfiguration k) {
    SiteConfiguration c = k.configuration();
    if (inForce != null && c.version() < inForce.version()) {
      return;
    }
    Map<String, Boolean> evacuations = new HashMap<>();
    c.evacuated().forEach(dataCentre -> evacuations.put(dataCentre, true));
    var rules = new ConfigurationChange.Rules(c.version(), c.routes(), c.services(), c.limits());
    apply(
        new ConfigurationChange(
            c.revision(), k.changedAt(), true, Optional.of(rules), evacuations));
  }

  /**
   * Takes in that another host knows of a change. When that host does not tell it soon, and no
   * watch does, the configuration is read.
   *
   * @param revision the store's revision of the change
   * @param ask asks that host for its configuration, given the revision that this one knows
   */
  public void heardOf(long revision, LongConsumer ask) {
    if (!rereading && behind(revision)) {
      rereading = true;
      ask.accept(inForce == null ? 0 : inForce.revision());
      loop.schedule(() -> readIfBehind(revision), WATCH_PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean behind(long revision) {
    return inForce == null || inForce.revision() < revision;
  }

  private void readIfBehind(long revision) {
    if (!behind(revision)) {
      rereading = false;
      return;
    }
    log.event("configuration_watch_silent").with("revision", revision).write();
    store
        .readConfiguration()
        .whenComplete(
            (change, failure) -> {
              rereading = false;
              if (failure == null) {
                apply(change);
              }
            });
  }

  private void follow() {
    if (whole && !reader.getAsBoolean()) {
      resting = true;
      return;
    }
    CompletableFuture<ConfigurationChange> call =
        whole ? store.watchConfiguration(cursor, WATCH_MS) : store.readConfiguration();
    call.whenComplete(
        (change, failure) -> {
          if (failure == null) {
            recovered();
            take(change);
          } else {
            failed(failure);
          }
        });
  }

  private void take(ConfigurationChange change) {
    cursor = change.revision();
    // The first configuration is read whole, so that nothing that was there before it is missed.
    whole = change.complete() || inForce != null;
    if (whole) {
      apply(change);
    }
    follow();
  }

  private void again() {
    loop.schedule(this::follow, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void recovered() {
    if (failing) {
      failing = false;
      log.event("store_regained").with("after_ms", clock.getAsLong() - sinceMs).write();
    }
  }

  private void failed(Throwable failure) {
    // A watch that ended may have missed changes and, set up again, may not tell them: read all.
    boolean watching = whole;
    whole = false;
    if (failure instanceof StoreFailure f && f.kind() == StoreFailure.Kind.HISTORY_GONE) {
      log.event("configuration_history_gone").write();
      follow();
      return;
    }
    if (!failing) {
      failing = true;
      sinceMs = clock.getAsLong();
      log.event("store_lost").with("cause", String.valueOf(failure.getMessage())).write();
    }
    if (watching) {
      follow();
    } else {
      again();
    }
  }

  private void apply(ConfigurationChange change) {
    SiteConfiguration old = inForce;
    if (old != null && change.revision() <= old.revision()) {
      return;
    }
    changedAt = Math.max(changedAt, change.changedAt());
    Set<String> evacuated = new HashSet<>();
    if (old != null && !change.complete()) {
      evacuated.addAll(old.evacuated());
    }
    change
        .evacuations()
        .forEach(
            (dc, out) -> {
              if (out) {
                evacuated.add(dc);
              } else {
                evacuated.remove(dc);
              }
            });
    SiteConfiguration next = merge(old, change, evacuated);
    if (next == null) {
      return;
    }
    inForce = next;
    cursor = Math.max(cursor, next.revision());
    boolean newRules = old == null || old.version() != next.version();
    if (newRules) {
      routes = new RouteMatcher(next.routes());
    }
    if (old == null || newRules || !old.evacuated().equals(evacuated)) {
      log.event("configuration")
          .with("version", next.version())
          .with("revision", next.revision())
          .with("evacuated", evacuated.toString())
          .write();
      changed.run();
    }
    if (old != null || !change.complete()) {
      news.accept(new KnownConfiguration(next, changedAt));
    }
  }

  private static @Nullable SiteConfiguration merge(
      @Nullable SiteConfiguration old, ConfigurationChange change, Set<String> evacuated) {
    if (change.rules().isPresent()
        && (old == null || change.rules().get().version() > old.version())) {
      ConfigurationChange.Rules r = change.rules().get();
      return new SiteConfiguration(
          change.revision(), r.version(), r.routes(), r.services(), r.limits(), evacuated);
    }
    if (old == null) {
      return null;
    }
    return new SiteConfiguration(
        change.revision(), old.version(), old.routes(), old.services(), old.limits(), evacuated);
  }
}
