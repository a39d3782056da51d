package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.Ask;
import dev.cactusstack.decisions.placing.AskKey;
import dev.cactusstack.decisions.placing.Report;
import dev.cactusstack.decisions.placing.Scheduler;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.decisions.placing.Verdict;
import dev.cactusstack.gateway.control.UpstreamsController;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * This host's schedulers, one for each service that some host has asked about. Confined to the
 * event loop.
 */
public final class Schedulers {
  private static final long TICK_MS = 20;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final SchedulerSettings settings;
  private final UpstreamsController upstreams;
  private final Map<String, Scheduler> byService = new HashMap<>();
  private Consumer<Verdict> verdicts = v -> {};
  private boolean ticking;

  /**
   * Creates schedulers for no service.
   *
   * @param loop the loop that everything runs on
   * @param clock a steady clock, in milliseconds
   * @param settings what schedulers go by
   * @param upstreams which upstreams there are
   */
  public Schedulers(
      EventLoop loop,
      LongSupplier clock,
      SchedulerSettings settings,
      UpstreamsController upstreams) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.upstreams = upstreams;
    upstreams.onChange(this::refresh);
  }

  void onVerdict(Consumer<Verdict> receiver) {
    verdicts = receiver;
  }

  void ask(String service, Ask ask) {
    upstreams.whenFresh(
        () -> {
          deliver(List.of(scheduler(service).ask(ask, clock.getAsLong())));
          tickSoon();
        });
  }

  void report(String service, Report r) {
    Scheduler s = byService.get(service);
    if (s != null) {
      deliver(s.report(r, clock.getAsLong()));
    }
  }

  void withdraw(String service, AskKey key) {
    Scheduler s = byService.get(service);
    if (s != null) {
      s.withdraw(key);
    }
  }

  /**
   * Says what this host knows of an upstream, for a log line.
   *
   * @param service the service's name
   * @param upstream the upstream's identity
   * @return a few figures
   */
  public String describe(String service, String upstream) {
    Scheduler s = byService.get(service);
    return s == null ? "elsewhere" : s.describe(upstream, clock.getAsLong());
  }

  private Scheduler scheduler(String service) {
    Scheduler s = byService.get(service);
    if (s == null) {
      s = new Scheduler(settings);
      byService.put(service, s);
      s.upstreams(upstreams.rule(service), upstreams.usable(service), clock.getAsLong());
    }
    return s;
  }

  private void refresh() {
    long now = clock.getAsLong();
    byService.forEach(
        (service, s) -> s.upstreams(upstreams.rule(service), upstreams.usable(service), now));
  }

  private void deliver(List<Verdict> list) {
    list.forEach(verdicts);
  }

  private void tickSoon() {
    if (!ticking && byService.values().stream().anyMatch(Scheduler::busy)) {
      ticking = true;
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    ticking = false;
    long now = clock.getAsLong();
    for (Scheduler s : List.copyOf(byService.values())) {
      if (s.busy()) {
        deliver(s.tick(now));
      }
    }
    tickSoon();
  }
}
