package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.Scheduler;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.decisions.registrations.RegistrationAge;
import dev.cactusstack.gateway.control.UpstreamsController;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.site.UpstreamRegistration;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The schedulers of this host, one for each service that this or another host has requested.
 * Confined to the event loop.
 */
public final class LocalSchedulers {
  private static final long QUEUE_TICK_INTERVAL_MS = 20;
  private static final long PROBE_INTERVAL_MS = 50;
  private static final long PROBE_AFTER_REQUEST_MS = 1_000;
  private static final long SHARE_UPDATE_INTERVAL_MS = 1_000;
  private static final long SHARE_UPDATE_AFTER_REQUEST_MS = 60_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SchedulerSettings settings;
  private final UpstreamsController upstreams;
  private final UpstreamProber prober;
  private final LimitShares limitShares;
  private final BooleanSupplier storeConfirmed;
  private final RandomGenerator random;
  private final int selfHash;
  private final Map<String, Scheduler> schedulersByService = new HashMap<>();
  private final Map<String, Long> lastRequestAtMs = new HashMap<>();
  private Consumer<PlacementDecision> decisionListener = v -> {};
  private Rollouts rollouts = Rollouts.NONE;
  private boolean tickScheduled;
  private boolean probeScheduled;
  private boolean shareUpdateScheduled;

  /**
   * Creates an instance without schedulers; they are created on demand.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs decisions
   * @param settings settings of the schedulers
   * @param upstreams tracks the upstreams
   * @param prober probes the load of upstreams
   * @param limitShares computes this host's share of the upstreams' limits
   * @param storeConfirmed whether a host has lately read the store
   * @param random source of randomness for placements
   * @param selfHash hash of this host's name
   */
  public LocalSchedulers(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SchedulerSettings settings,
      UpstreamsController upstreams,
      UpstreamProber prober,
      LimitShares limitShares,
      BooleanSupplier storeConfirmed,
      RandomGenerator random,
      int selfHash) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.upstreams = upstreams;
    this.prober = prober;
    this.limitShares = limitShares;
    this.storeConfirmed = storeConfirmed;
    this.random = random;
    this.selfHash = selfHash;
    upstreams.onChange(this::refreshUpstreams);
  }

  /**
   * Sets the roll-outs that the schedulers follow.
   *
   * @param found finds the roll-out that is ordered for a service
   */
  public void useRollouts(Rollouts found) {
    rollouts = found;
  }

  void onDecision(Consumer<PlacementDecision> listener) {
    decisionListener = listener;
  }

  /** Decides on a request of this host, even if the upstreams are stale or unknown. */
  void requestDecision(String service, PlacementRequest request) {
    upstreams.runWhenFresh(() -> decide(service, request));
  }

  /**
   * Decides on a request of another host. Declines it if the upstreams have never been read, or are
   * stale while another host has read them.
   */
  void requestDecision(String service, PlacementRequest request, Runnable onDeclined) {
    upstreams.keepFresh();
    upstreams.runWhenFresh(
        () -> {
          boolean tooOld =
              RegistrationAge.isTooOldForPlacement(upstreams.ageMs())
                  && storeConfirmed.getAsBoolean();
          if (upstreams.isNeverRead() || tooOld) {
            onDeclined.run();
          } else {
            decide(service, request);
          }
        });
  }

  /**
   * Checks whether this host can read newer registrations than those that a placement rests on.
   *
   * @param onResult receives true if this host has fresh registrations now
   */
  void tryRefresh(Consumer<Boolean> onResult) {
    upstreams.runWhenFresh(
        () -> onResult.accept(!RegistrationAge.isTooOldForPlacement(upstreams.ageMs())));
  }

  /** Returns the age of the registrations that a decision rests on, in milliseconds. */
  long registrationsAgeMs(PlacementDecision decision) {
    return decision instanceof PlacementDecision.Placed placed
        ? upstreams.ageMs(placed.upstream().id())
        : upstreams.ageMs();
  }

  private void decide(String service, PlacementRequest request) {
    long now = clock.getAsLong();
    lastRequestAtMs.put(service, now);
    rollouts.recordUse(service);
    publish(service, withCurrentShare(service, schedulerFor(service), now).submit(request, now));
    scheduleTick();
    scheduleProbe();
    scheduleShareUpdate();
  }

  void report(String service, AttemptReport attempt) {
    Scheduler scheduler = schedulersByService.get(service);
    if (scheduler != null) {
      long now = clock.getAsLong();
      publish(service, withCurrentShare(service, scheduler, now).report(attempt, now));
    }
  }

  /**
   * Records what another host, or this one, knows of the limits of a service's upstreams, as soon
   * as the upstreams are known and before any request that is submitted later.
   */
  void recordLimits(String service, List<UpstreamLimit> limits) {
    long receivedAtMs = clock.getAsLong();
    upstreams.runWhenFresh(
        () -> {
          long now = clock.getAsLong();
          Scheduler scheduler = schedulerFor(service);
          limits.forEach(known -> scheduler.recordLimit(known.agedBy(now - receivedAtMs), now));
        });
  }

  private Scheduler withCurrentShare(String service, Scheduler scheduler, long nowMs) {
    scheduler.updateLimitShare(limitShares.share(service, nowMs), nowMs);
    scheduler.updateRollout(rollouts.find(service));
    return scheduler;
  }

  void cancelQueued(String service, PlacementKey key) {
    Scheduler scheduler = schedulersByService.get(service);
    if (scheduler != null) {
      scheduler.cancel(key, clock.getAsLong());
    }
  }

  private Scheduler schedulerFor(String service) {
    Scheduler scheduler = schedulersByService.get(service);
    if (scheduler == null) {
      scheduler = new Scheduler(settings, random);
      schedulersByService.put(service, scheduler);
      scheduler.updateUpstreams(
          upstreams.serviceSettings(service),
          upstreams.usableUpstreams(service),
          clock.getAsLong());
    }
    return scheduler;
  }

  private void refreshUpstreams() {
    long now = clock.getAsLong();
    schedulersByService.forEach(
        (service, scheduler) ->
            scheduler.updateUpstreams(
                upstreams.serviceSettings(service), upstreams.usableUpstreams(service), now));
  }

  private void publish(String service, List<PlacementDecision> decisions) {
    decisions.forEach(decision -> logDecision(service, decision));
    decisions.forEach(decisionListener);
  }

  private void logDecision(String service, PlacementDecision decision) {
    EventLine line = log.event("decided").with("service", service);
    line.with("asker", decision.key().hostHash()).with("ask", decision.key().sequenceNumber());
    if (decision instanceof PlacementDecision.Placed placed) {
      String load =
          schedulerFor(service).describeUpstream(placed.upstream().id(), clock.getAsLong());
      line.with("outcome", "placed").with("upstream", placed.upstream().id()).with("knew", load);
    } else if (decision instanceof PlacementDecision.Rejected rejected) {
      line.with("outcome", "turned-away").with("retry_ms", rejected.retryAfterMs());
    } else {
      line.with("outcome", "waits");
    }
    line.write();
  }

  private void scheduleProbe() {
    if (!probeScheduled) {
      probeScheduled = true;
      loop.schedule(this::probe, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void probe() {
    probeScheduled = false;
    long now = clock.getAsLong();
    List<String> requested = servicesRequestedWithin(PROBE_AFTER_REQUEST_MS, now);
    for (String service : requested) {
      Scheduler scheduler = withCurrentShare(service, schedulerFor(service), now);
      String path = upstreams.serviceSettings(service).healthPath();
      for (UpstreamRegistration target :
          path.isEmpty() ? List.<UpstreamRegistration>of() : scheduler.selectProbeTargets(now)) {
        prober.probe(
            target,
            path,
            now,
            load -> recordProbeResponse(service, target.id(), load),
            notice -> scheduler.recordNotice(target, selfHash, notice, clock.getAsLong()));
      }
    }
    if (!requested.isEmpty()) {
      scheduleProbe();
    }
  }

  private void recordProbeResponse(String service, String upstreamId, ReportedLoad load) {
    long now = clock.getAsLong();
    Scheduler scheduler = withCurrentShare(service, schedulerFor(service), now);
    publish(service, scheduler.recordProbeResponse(upstreamId, load, now));
  }

  private List<String> servicesRequestedWithin(long withinMs, long nowMs) {
    return lastRequestAtMs.entrySet().stream()
        .filter(entry -> nowMs - entry.getValue() <= withinMs)
        .map(Map.Entry::getKey)
        .toList();
  }

  private void scheduleShareUpdate() {
    if (!shareUpdateScheduled) {
      shareUpdateScheduled = true;
      loop.schedule(this::updateShares, SHARE_UPDATE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Looks at the shares also while there are no requests, because a gap resets them. */
  private void updateShares() {
    shareUpdateScheduled = false;
    long now = clock.getAsLong();
    lastRequestAtMs
        .values()
        .removeIf(requestedAtMs -> now - requestedAtMs > SHARE_UPDATE_AFTER_REQUEST_MS);
    lastRequestAtMs
        .keySet()
        .forEach(service -> withCurrentShare(service, schedulerFor(service), now));
    if (!lastRequestAtMs.isEmpty()) {
      scheduleShareUpdate();
    }
  }

  private void scheduleTick() {
    if (!tickScheduled
        && schedulersByService.values().stream().anyMatch(Scheduler::hasQueuedRequests)) {
      tickScheduled = true;
      loop.schedule(this::tick, QUEUE_TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    tickScheduled = false;
    long now = clock.getAsLong();
    for (Map.Entry<String, Scheduler> entry : List.copyOf(schedulersByService.entrySet())) {
      if (entry.getValue().hasQueuedRequests()) {
        publish(entry.getKey(), withCurrentShare(entry.getKey(), entry.getValue(), now).tick(now));
      }
    }
    scheduleTick();
  }
}
