package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.gateway.scheduling.Rollouts;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.SiteConfiguration;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Follows the operators' roll-out orders.
 *
 * <p>Invariant: there is one {@link RolloutTask} for each order in force, and without orders
 * nothing runs and the store is not called. Confined to the event loop.
 */
public final class RolloutController implements Rollouts {
  private static final long TICK_INTERVAL_MS = 100;
  private static final long SETTLED_TICK_INTERVAL_MS = 1_000;

  /** Longest time after a restore of the store to wait for the configuration of its new era. */
  private static final long CONFIGURATION_WAIT_MS = 5_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SiteStore store;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final Predicate<String> isScheduler;
  private final Map<String, RolloutTask> tasks = new HashMap<>();
  private RolloutTotals endedTotals = RolloutTotals.NONE;
  private @Nullable ScheduledFuture<?> nextTick;
  private long nextTickAtMs;
  private long restoredEra;
  private long restoredAtMs;

  /**
   * Creates a controller that knows no orders.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs the steps of roll-outs
   * @param store the store that keeps their status
   * @param configuration supplies the configuration in force
   * @param isScheduler whether this host is the first in the ranking of a service and hears of most
   *     hosts
   */
  public RolloutController(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SiteStore store,
      Supplier<Optional<SiteConfiguration>> configuration,
      Predicate<String> isScheduler) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.store = store;
    this.configuration = configuration;
    this.isScheduler = isScheduler;
  }

  /** Handles a change of the configuration in force: a new order starts over. */
  public void onConfigurationChanged() {
    Map<String, RolloutOrder> orders =
        configuration.get().map(SiteConfiguration::rollouts).orElse(Map.of());
    tasks
        .entrySet()
        .removeIf(
            entry -> {
              Rollout rollout = entry.getValue().rollout();
              boolean ended = !rollout.order().equals(orders.get(entry.getKey()));
              if (ended) {
                endedTotals = endedTotals.plus(RolloutTotals.of(rollout));
              }
              return ended;
            });
    orders.forEach(
        (service, order) ->
            tasks.computeIfAbsent(
                service,
                name -> new RolloutTask(clock, log, store, this::isConfigurationRead, order)));
    if (!tasks.isEmpty()) {
      tick();
    }
  }

  /**
   * Reads all statuses again, because the store may have lost some. Nothing is read or written
   * until the configuration of the new era is in force, because the restored store may have other
   * orders, or for {@value #CONFIGURATION_WAIT_MS} ms.
   *
   * @param era the store's new era
   */
  public void reread(long era) {
    restoredEra = era;
    restoredAtMs = clock.getAsLong();
    tasks.values().forEach(RolloutTask::reread);
    scheduleTick();
  }

  private boolean isConfigurationRead() {
    long revision = configuration.get().map(SiteConfiguration::revision).orElse(0L);
    return StoreRevision.eraOf(revision) >= restoredEra
        || clock.getAsLong() - restoredAtMs >= CONFIGURATION_WAIT_MS;
  }

  @Override
  public Optional<Rollout> find(String service) {
    return Optional.ofNullable(tasks.get(service)).map(RolloutTask::rollout);
  }

  @Override
  public void recordUse(String service) {
    RolloutTask task = tasks.get(service);
    if (task == null) {
      return;
    }
    boolean wasSettled = task.isSettled();
    task.recordUse();
    if (wasSettled && !task.isSettled()) {
      scheduleTick();
    }
  }

  /**
   * Registers the counters of the roll-outs that this host has followed.
   *
   * @param registry the metrics of this host
   */
  public void registerCounters(GatewayMetrics registry) {
    register(registry, "orders", "Roll-out orders that ended or are in force", t -> t.orders());
    register(registry, "succeeded", "Roll-outs with the verdict succeeded", t -> t.succeeded());
    register(registry, "rolled_back", "Roll-outs that were rolled back", t -> t.rolledBack());
    register(
        registry,
        "placements",
        "Placements of services with a roll-out, by this host",
        t -> t.placements());
    register(
        registry,
        "placements_new",
        "Placements on the version that is rolled out",
        t -> t.newPlacements());
    register(
        registry, "bad_answers_old", "Bad answers of the version in use", t -> t.oldBadAnswers());
    register(
        registry,
        "bad_answers_new",
        "Bad answers of the version that is rolled out",
        t -> t.newBadAnswers());
  }

  private void register(
      GatewayMetrics registry, String name, String help, ToLongFunction<RolloutTotals> value) {
    registry.registerCounter(
        "cactusstack_rollout_" + name, help, () -> value.applyAsLong(totals()));
  }

  private RolloutTotals totals() {
    return tasks.values().stream()
        .map(task -> RolloutTotals.of(task.rollout()))
        .reduce(endedTotals, RolloutTotals::plus);
  }

  private void tick() {
    tasks.forEach((service, task) -> task.tick(isScheduler.test(service)));
    scheduleTick();
  }

  /** Schedules the next tick, or an earlier one if the interval has become shorter. */
  private void scheduleTick() {
    if (tasks.isEmpty()) {
      return;
    }
    boolean settled = tasks.values().stream().allMatch(RolloutTask::isSettled);
    long intervalMs = settled ? SETTLED_TICK_INTERVAL_MS : TICK_INTERVAL_MS;
    long atMs = clock.getAsLong() + intervalMs;
    ScheduledFuture<?> pending = nextTick;
    if (pending != null) {
      if (nextTickAtMs <= atMs) {
        return;
      }
      pending.cancel(false);
    }
    nextTickAtMs = atMs;
    nextTick =
        loop.schedule(
            () -> {
              nextTick = null;
              tick();
            },
            intervalMs,
            TimeUnit.MILLISECONDS);
  }
}
