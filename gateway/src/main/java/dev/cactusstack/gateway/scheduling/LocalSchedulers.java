package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.Scheduler;
import dev.cactusstack.decisions.placing.SchedulerSettings;
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

/**
 * This host's schedulers, one for each service that some host has asked about. Confined to the
 * event loop.
 */
public final class LocalSchedulers {
  private static final long TICK_MS = 20;
  private static final long PROBE_TICK_MS = 50;
  private static final long PROBE_WHILE_ASKED_MS = 1_000;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final SchedulerSettings settings;
  private final UpstreamsController upstreams;
  private final UpstreamProber prober;
  private final BooleanSupplier othersInformed;
  private final Map<String, Scheduler> byService = new HashMap<>();
  private final Map<String, Long> askedAt = new HashMap<>();
  private Consumer<PlacementDecision> verdicts = v -> {};
  private boolean ticking;
  private boolean probing;

  /**
   * Creates schedulers for no service.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param log where decisions are told
   * @param settings what schedulers go by
   * @param upstreams which upstreams there are
   * @param prober asks upstreams for their load
   * @param othersInformed whether another host reaches the store
   */
  public LocalSchedulers(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      SchedulerSettings settings,
      UpstreamsController upstreams,
      UpstreamProber prober,
      BooleanSupplier othersInformed) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.upstreams = upstreams;
    this.prober = prober;
    this.othersInformed = othersInformed;
    upstreams.onChange(this::refresh);
  }

  void onDecision(Consumer<PlacementDecision> receiver) {
    verdicts = receiver;
  }

  /** Decides about an ask of this host itself, with whatever is known. */
  void submit(String service, PlacementRequest ask) {
    upstreams.runWhenFresh(() -> decide(service, ask));
  }

  /** Decides about an ask of another host, unless this one knows nothing or others know more. */
  void submit(String service, PlacementRequest ask, Runnable unable) {
    upstreams.runWhenFresh(
        () -> {
          boolean othersKnowMore = upstreams.isStale() && othersInformed.getAsBoolean();
          if (upstreams.isNeverRead() || othersKnowMore) {
            unable.run();
          } else {
            decide(service, ask);
          }
        });
  }

  private void decide(String service, PlacementRequest ask) {
    long now = clock.getAsLong();
    askedAt.put(service, now);
    deliver(service, scheduler(service).submit(ask, now));
    tickSoon();
    probeSoon();
  }

  void report(String service, AttemptReport r) {
    Scheduler s = byService.get(service);
    if (s != null) {
      deliver(service, s.report(r, clock.getAsLong()));
    }
  }

  void cancelQueued(String service, PlacementKey key) {
    Scheduler s = byService.get(service);
    if (s != null) {
      s.cancel(key);
    }
  }

  private Scheduler scheduler(String service) {
    Scheduler s = byService.get(service);
    if (s == null) {
      s = new Scheduler(settings);
      byService.put(service, s);
      s.updateUpstreams(upstreams.serviceSettings(service), upstreams.usableUpstreams(service), clock.getAsLong());
    }
    return s;
  }

  private void refresh() {
    long now = clock.getAsLong();
    byService.forEach(
        (service, s) -> s.updateUpstreams(upstreams.serviceSettings(service), upstreams.usableUpstreams(service), now));
  }

  private void deliver(String service, List<PlacementDecision> list) {
    list.forEach(v -> tell(service, v));
    list.forEach(verdicts);
  }

  private void tell(String service, PlacementDecision v) {
    EventLine line = log.event("decided").with("service", service);
    line.with("asker", v.key().hostHash()).with("ask", v.key().sequenceNumber());
    if (v instanceof PlacementDecision.Placed p) {
      String figures = scheduler(service).describeUpstream(p.upstream().id(), clock.getAsLong());
      line.with("outcome", "placed").with("upstream", p.upstream().id()).with("knew", figures);
    } else if (v instanceof PlacementDecision.Rejected t) {
      line.with("outcome", "turned-away").with("retry_ms", t.retryAfterMs());
    } else {
      line.with("outcome", "waits");
    }
    line.write();
  }

  private void probeSoon() {
    if (!probing) {
      probing = true;
      loop.schedule(this::probe, PROBE_TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void probe() {
    probing = false;
    long now = clock.getAsLong();
    askedAt.values().removeIf(at -> now - at > PROBE_WHILE_ASKED_MS);
    for (String service : askedAt.keySet()) {
      Scheduler s = scheduler(service);
      String path = upstreams.serviceSettings(service).healthPath();
      for (UpstreamRegistration u :
          path.isEmpty() ? List.<UpstreamRegistration>of() : s.selectProbeTargets(now)) {
        prober.probe(
            u,
            path,
            figures -> deliver(service, s.recordProbeResponse(u.id(), figures, clock.getAsLong())));
      }
    }
    if (!askedAt.isEmpty()) {
      probeSoon();
    }
  }

  private void tickSoon() {
    if (!ticking && byService.values().stream().anyMatch(Scheduler::hasQueuedRequests)) {
      ticking = true;
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    ticking = false;
    long now = clock.getAsLong();
    for (Map.Entry<String, Scheduler> e : List.copyOf(byService.entrySet())) {
      if (e.getValue().hasQueuedRequests()) {
        deliver(e.getKey(), e.getValue().tick(now));
      }
    }
    tickSoon();
  }
}
