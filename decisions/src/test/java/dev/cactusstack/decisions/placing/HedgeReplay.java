package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.retries.ExpectationError;
import dev.cactusstack.decisions.retries.HedgeBudget;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Replays requests that may be repeated on upstreams of which some are slow for a while without
 * reporting it, with hedges as each of several hosts sends them.
 */
final class HedgeReplay {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings SERVICE = new ServiceSettings("s", "/h", 100, 3_000, 14);
  private static final double PROCESSING_MS = 60;
  private static final double PROCESSING_SIGMA = 0.25;
  private static final double SLOW_FACTOR = 10;
  private static final double SLOW_SHARE = 0.06;
  private static final long LENGTH_MS = 60_000;
  private static final long WARM_UP_MS = 10_000;
  private static final int UPSTREAMS = 24;

  /** When a hedge is sent. */
  enum Timing {
    /** Never. */
    NONE,
    /** After the time that the scheduler expected. */
    EXPECTED,
    /** After that time and a multiple of its usual deviation. */
    LATER_THAN_USUAL
  }

  /** How long requests took, and what the hedges cost. Times in milliseconds. */
  record Result(
      long medianMs,
      long tailMs,
      long extremeTailMs,
      int requests,
      int hedges,
      int won,
      double workShare) {
    double requestShare() {
      return hedges / (double) requests;
    }
  }

  private static final class Request {
    private final int host;
    private final long askedAtMs;
    private final double processingMs;
    private final List<Copy> running = new ArrayList<>();
    private boolean answered;

    Request(int host, long askedAtMs, double processingMs) {
      this.host = host;
      this.askedAtMs = askedAtMs;
      this.processingMs = processingMs;
    }
  }

  private record Copy(
      PlacementDecision.Placed placed, boolean hedge, double expectedMs, long sentAtMs) {}

  private record Event(long atMs, long number, Runnable action) {}

  private final Timing timing;
  private final Optional<HedgeBudget> unlimited;
  private final List<HedgeBudget> budgets = new ArrayList<>();
  private final List<ExpectationError> errors = new ArrayList<>();
  private final SplittableRandom random;
  private final Scheduler scheduler;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final java.util.Map<PlacementKey, Request> queued = new java.util.HashMap<>();
  private final List<Long> durationsMs = new ArrayList<>();
  private final double requestsPerMs;
  private long number;
  private long nowMs;
  private int requests;
  private int hedges;
  private int won;
  private double firstWorkMs;
  private double hedgeWorkMs;

  HedgeReplay(
      int hosts,
      double requestsPerSecond,
      Timing timing,
      double maxRequestShare,
      double maxWorkShare,
      boolean limited,
      long seed) {
    this.timing = timing;
    this.unlimited = limited ? Optional.empty() : Optional.of(new HedgeBudget(1, 1));
    for (int h = 0; h < hosts; h++) {
      budgets.add(new HedgeBudget(maxRequestShare, maxWorkShare));
      errors.add(new ExpectationError());
    }
    this.random = new SplittableRandom(seed);
    this.scheduler = new Scheduler(SETTINGS, new SplittableRandom(seed));
    this.requestsPerMs = requestsPerSecond / 1_000;
    List<UpstreamRegistration> registrations = new ArrayList<>();
    for (int u = 0; u < UPSTREAMS; u++) {
      registrations.add(
          new UpstreamRegistration(
              "u" + u, "s", new Address("127.0.0.1", 1_000 + u), "dc", 2, false, 0, 1, 0));
    }
    scheduler.updateUpstreams(SERVICE, registrations, 0);
  }

  Result run() {
    scheduleArrival();
    for (long tickAtMs = 0; tickAtMs < LENGTH_MS + 3_000; tickAtMs += 20) {
      at(tickAtMs, () -> handle(scheduler.tick(nowMs)));
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
    durationsMs.sort(null);
    return new Result(
        durationsMs.get(durationsMs.size() / 2),
        durationsMs.get(durationsMs.size() * 99 / 100),
        durationsMs.get(durationsMs.size() * 999 / 1_000),
        requests,
        hedges,
        won,
        hedgeWorkMs / (firstWorkMs + hedgeWorkMs));
  }

  private void at(long atMs, Runnable action) {
    events.add(new Event(atMs, ++number, action));
  }

  private void scheduleArrival() {
    long atMs = nowMs + Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / requestsPerMs));
    if (atMs < LENGTH_MS) {
      at(
          atMs,
          () -> {
            requests++;
            int host = random.nextInt(budgets.size());
            budgets.get(host).recordRequest(nowMs);
            double processingMs =
                PROCESSING_MS * Math.exp(PROCESSING_SIGMA * random.nextGaussian());
            submit(new Request(host, nowMs, processingMs), false, Set.of());
            scheduleArrival();
          });
    }
  }

  private void submit(Request request, boolean hedge, Set<String> tried) {
    long passedMs = nowMs - request.askedAtMs;
    var key = new PlacementKey(request.host, ++number);
    queued.put(key, request);
    handle(
        scheduler.submit(
            new PlacementRequest(
                key,
                "dc",
                "r",
                1,
                400,
                Math.max(0, 400 - passedMs),
                Math.max(0, 3_000 - passedMs),
                0,
                hedge,
                tried),
            nowMs));
  }

  private void handle(List<PlacementDecision> decisions) {
    for (PlacementDecision decision : decisions) {
      Request request = queued.get(decision.key());
      if (decision instanceof PlacementDecision.Placed placed && request != null) {
        send(request, placed);
      }
    }
  }

  private void send(Request request, PlacementDecision.Placed placed) {
    boolean hedge = !request.running.isEmpty();
    HedgeBudget budget = unlimited.orElse(budgets.get(request.host));
    double expectedMs = placed.expectedMs();
    if (unlimited.isPresent()) {
      budget.recordRequest(nowMs);
      budget.recordFirstCopy(expectedMs, nowMs);
    }
    if (hedge && budget.tryAcquire(expectedMs, nowMs) != HedgeBudget.Decision.ALLOWED) {
      report(placed, AttemptOutcome.UNUSED, 0);
      return;
    }
    hedges += hedge ? 1 : 0;
    var copy = new Copy(placed, hedge, expectedMs, nowMs);
    request.running.add(copy);
    double factor = isSlow(placed.upstream().id()) ? SLOW_FACTOR : 1;
    at(nowMs + Math.round(request.processingMs * factor), () -> end(request, copy));
    if (!hedge && timing != Timing.NONE) {
      long delayMs =
          timing == Timing.EXPECTED
              ? placed.expectedMs()
              : errors.get(request.host).lateAfterMs(expectedMs);
      at(nowMs + delayMs, () -> hedge(request, copy));
    }
  }

  private void hedge(Request request, Copy first) {
    if (!request.answered && request.running.size() == 1) {
      submit(request, true, Set.of(first.placed.upstream().id()));
    }
  }

  /** Slows a part of the upstreams in each period of two seconds. */
  private boolean isSlow(String upstreamId) {
    long period = nowMs / 2_000;
    return new SplittableRandom(upstreamId.hashCode() * 7_919L + period * 104_729L).nextDouble()
        < SLOW_SHARE;
  }

  private void end(Request request, Copy copy) {
    if (!request.running.remove(copy)) {
      return;
    }
    record(request, copy, AttemptOutcome.ANSWERED);
    request.answered = true;
    won += copy.hedge ? 1 : 0;
    if (request.askedAtMs >= WARM_UP_MS) {
      durationsMs.add(nowMs - request.askedAtMs);
    }
    List<Copy> others = List.copyOf(request.running);
    request.running.clear();
    others.forEach(other -> record(request, other, AttemptOutcome.ABANDONED));
  }

  private void record(Request request, Copy copy, AttemptOutcome outcome) {
    long tookMs = nowMs - copy.sentAtMs;
    if (copy.hedge) {
      hedgeWorkMs += tookMs;
      budgets.get(request.host).recordHedgeEnd(copy.expectedMs, tookMs);
    } else {
      firstWorkMs += tookMs;
      budgets.get(request.host).recordFirstCopy(tookMs, nowMs);
      errors.get(request.host).record(tookMs, copy.expectedMs);
    }
    report(copy.placed, outcome, tookMs);
  }

  private void report(PlacementDecision.Placed placed, AttemptOutcome outcome, long tookMs) {
    Optional<ReportedLoad> load =
        outcome == AttemptOutcome.ANSWERED
            ? Optional.of(new ReportedLoad(0, 0, 2, 100))
            : Optional.empty();
    handle(
        scheduler.report(
            new AttemptReport(placed.key(), placed.upstream().id(), outcome, tookMs, load), nowMs));
  }
}
