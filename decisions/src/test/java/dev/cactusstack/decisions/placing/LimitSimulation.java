package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.RequestLimit;
import dev.cactusstack.decisions.placing.UpstreamNotices.Permission;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongToDoubleFunction;

/**
 * Plays hosts, their schedulers and upstreams that limit their requests in virtual time, and
 * records what arrives at the upstreams.
 *
 * <p>All messages take a random time on their way. Reports of attempts are doubled, delayed and, as
 * far as the test says, lost. Attempts fail and are retried; some placements are not used.
 */
final class LimitSimulation {
  /** The limit that an upstream names over time. */
  interface Limit {
    /** Returns the requests per second; {@link RequestLimit#UNLIMITED} if it names none. */
    double requestsPerSecond(long nowMs);
  }

  /** The schedulers of the service, which all start without any knowledge. */
  interface Schedulers {
    int count();

    /** Returns the scheduler that a host asks. */
    int of(int host, long nowMs);

    /** Returns the share of a scheduler. */
    double share(int scheduler, long nowMs);

    /** Checks whether a scheduler runs; others lose what reaches them. */
    boolean runs(int scheduler, long nowMs);
  }

  private static final ServiceSettings SERVICE = new ServiceSettings("s", "/h", 100, 3_000, 14);
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final long OBJECTIVE_MS = 300;
  private static final long DEADLINE_MS = 1_500;
  private static final int SLOTS = 14;
  private static final long UPDATE_INTERVAL_MS = 500;
  private static final long TICK_INTERVAL_MS = 20;
  private static final long PROBE_INTERVAL_MS = 50;
  private static final int MAX_DELAY_MS = 8;
  private static final int MIN_PROCESSING_MS = 20;
  private static final int PROCESSING_SPREAD_MS = 160;
  private static final int LATE_REPORT_MS = 3_000;
  private static final double DELAYED_SHARE = 0.1;
  private static final int DELAYED_REPORT_MS = 300;
  private static final double DOUBLED_SHARE = 0.1;
  private static final double FAILED_SHARE = 0.05;
  private static final double UNUSED_SHARE = 0.05;
  private static final int MAX_ASKS = 4;
  private static final long IDLE_STEP_MS = 50;

  private final int hosts;
  private final LongToDoubleFunction requestsPerSecond;
  private final long lengthMs;
  private final double lostShare;
  private final List<Limit> limits;
  private final Schedulers plan;
  private final SplittableRandom random;
  private final List<Scheduler> schedulers = new ArrayList<>();
  private final List<UpstreamNotices> notices = new ArrayList<>();
  private final List<UpstreamRegistration> registrations = new ArrayList<>();
  private final Map<PlacementKey, Integer> asksByKey = new HashMap<>();
  private final Map<PlacementKey, Integer> schedulerByKey = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequenceNumber));
  private final Arrivals arrivals;
  private long nowMs;
  private long lastSequenceNumber;

  LimitSimulation(
      int hosts,
      LongToDoubleFunction requestsPerSecond,
      long lengthMs,
      double lostShare,
      long seed,
      Schedulers plan,
      List<Limit> limits) {
    this.hosts = hosts;
    this.requestsPerSecond = requestsPerSecond;
    this.lengthMs = lengthMs;
    this.lostShare = lostShare;
    this.limits = limits;
    this.plan = plan;
    this.random = new SplittableRandom(seed);
    this.arrivals = new Arrivals(limits);
  }

  private record Event(long atMs, long sequenceNumber, Runnable action) {}

  /** Plays everything and returns what arrived. */
  Arrivals run() {
    for (int i = 0; i < limits.size(); i++) {
      registrations.add(
          new UpstreamRegistration(
              "u" + i, "s", new Address("127.0.0.1", 1_000 + i), "dc", SLOTS, false, 0, 1, 1));
    }
    for (int host = 0; host < hosts; host++) {
      notices.add(new UpstreamNotices());
    }
    for (int i = 0; i < plan.count(); i++) {
      schedulers.add(new Scheduler(SETTINGS, random.split()));
    }
    for (int i = 0; i < plan.count(); i++) {
      int index = i;
      repeat(UPDATE_INTERVAL_MS, i, s -> s.updateUpstreams(SERVICE, registrations, nowMs));
      repeat(TICK_INTERVAL_MS, i, s -> decide(index, s.tick(nowMs)));
      repeat(PROBE_INTERVAL_MS, i, s -> s.selectProbeTargets(nowMs).forEach(this::probe));
    }
    at(0, this::demand);
    while (!events.isEmpty() && events.peek().atMs <= lengthMs) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
    return arrivals;
  }

  private void at(long atMs, Runnable action) {
    events.add(new Event(atMs, ++lastSequenceNumber, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  /** Delivers a message after a random time. */
  private void send(Runnable action) {
    after(1 + random.nextInt(MAX_DELAY_MS), action);
  }

  private void repeat(long intervalMs, int index, Consumer<Scheduler> action) {
    runIn(index, action);
    after(intervalMs, () -> repeat(intervalMs, index, action));
  }

  /** Runs an action in a scheduler, which gets its share first; does nothing if it is down. */
  private void runIn(int index, Consumer<Scheduler> action) {
    if (plan.runs(index, nowMs)) {
      Scheduler scheduler = schedulers.get(index);
      scheduler.updateLimitShare(plan.share(index, nowMs), nowMs);
      action.accept(scheduler);
    }
  }

  private void demand() {
    double rate = requestsPerSecond.applyAsDouble(nowMs);
    if (rate == 0) {
      after(IDLE_STEP_MS, this::demand);
      return;
    }
    ask(random.nextInt(hosts), 1);
    double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / rate;
    after(Math.round(gapMs), this::demand);
  }

  private void ask(int host, int asks) {
    int index = plan.of(host, nowMs);
    var key = new PlacementKey(host, ++lastSequenceNumber);
    asksByKey.put(key, asks);
    schedulerByKey.put(key, index);
    var request =
        new PlacementRequest(
            key, "dc", "r", 1, OBJECTIVE_MS, OBJECTIVE_MS, DEADLINE_MS, 0, false, Set.of());
    var known = notices.get(host).limits("s", nowMs);
    send(
        () ->
            runIn(
                index,
                scheduler -> {
                  known.forEach(limit -> scheduler.recordLimit(limit, nowMs));
                  decide(index, scheduler.submit(request, nowMs));
                }));
  }

  private void decide(int index, List<PlacementDecision> decisions) {
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Placed placed) {
        send(() -> use(index, placed));
      }
    }
  }

  private void use(int index, PlacementDecision.Placed placed) {
    int host = placed.key().hostHash();
    boolean allowed = notices.get(host).permission(placed, nowMs) == Permission.ALLOWED;
    if (!allowed || random.nextDouble() < UNUSED_SHARE) {
      report(index, placed, AttemptOutcome.UNUSED, 0);
      askAgain(placed.key());
      return;
    }
    long sentAtMs = nowMs;
    exchange(
        placed.upstream(),
        host,
        () -> {
          boolean failed = random.nextDouble() < FAILED_SHARE;
          AttemptOutcome outcome = failed ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
          report(index, placed, outcome, nowMs - sentAtMs);
          if (failed) {
            askAgain(placed.key());
          }
        });
  }

  private void askAgain(PlacementKey key) {
    int asks = asksByKey.getOrDefault(key, MAX_ASKS);
    if (asks < MAX_ASKS) {
      ask(key.hostHash(), asks + 1);
    }
  }

  private void probe(UpstreamRegistration upstream) {
    int host = random.nextInt(hosts);
    if (notices.get(host).permission(upstream, nowMs) == Permission.ALLOWED) {
      exchange(upstream, host, () -> {});
    }
  }

  /** Sends a request and receives the response, in which the upstream names its limit. */
  private void exchange(UpstreamRegistration upstream, int host, Runnable onResponse) {
    int index = registrations.indexOf(upstream);
    long sentAtMs = nowMs;
    send(
        () -> {
          arrivals.add(index, host, nowMs);
          after(
              MIN_PROCESSING_MS + random.nextInt(PROCESSING_SPREAD_MS),
              () -> {
                double said = limits.get(index).requestsPerSecond(nowMs);
                send(() -> receive(upstream, host, said, sentAtMs, onResponse));
              });
        });
  }

  private void receive(
      UpstreamRegistration upstream, int host, double said, long sentAtMs, Runnable onResponse) {
    var limit = new RequestLimit(said, nowMs - sentAtMs, 0);
    notices.get(host).record(upstream, new UpstreamNotice(false, 0, Optional.of(limit)), nowMs);
    if (limit.isLimited()) {
      arrivals.recordTold(registrations.indexOf(upstream), host, nowMs);
    }
    onResponse.run();
  }

  private void report(
      int index, PlacementDecision.Placed placed, AttemptOutcome outcome, long durationMs) {
    int host = placed.key().hostHash();
    var load = new ReportedLoad(0, 0, SLOTS, ReportedLoad.NORMAL_SLOWDOWN_PERCENT);
    var report =
        new AttemptReport(
            placed.key(),
            placed.upstream().id(),
            outcome,
            durationMs,
            outcome == AttemptOutcome.ANSWERED ? Optional.of(load) : Optional.empty(),
            notices.get(host).current(placed.upstream(), nowMs));
    if (random.nextDouble() >= lostShare) {
      boolean delayed = random.nextDouble() < DELAYED_SHARE;
      deliver(index, report, delayed ? random.nextInt(DELAYED_REPORT_MS) : 0);
    }
    if (random.nextDouble() < DOUBLED_SHARE) {
      deliver(index, report, random.nextInt(LATE_REPORT_MS));
    }
  }

  /** Delivers a report that is sent after some time. */
  private void deliver(int index, AttemptReport report, long sentAfterMs) {
    after(
        sentAfterMs,
        () -> {
          AttemptReport aged = report.agedBy(sentAfterMs);
          send(() -> runIn(index, s -> decide(index, s.report(aged, nowMs))));
        });
  }
}
