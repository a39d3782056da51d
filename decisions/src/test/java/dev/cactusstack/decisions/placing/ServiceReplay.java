package dev.cactusstack.decisions.placing;

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

/**
 * Replays several kinds of callers on one service in virtual time, and counts by kind how many of
 * their requests were answered, and when.
 */
final class ServiceReplay {
  static final long OBJECTIVE_MS = 300;
  static final long DEADLINE_MS = 1_000;
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5);
  private static final ServiceSettings SERVICE = new ServiceSettings("s", "/h", 100, 3_000, 14);
  private static final double PROCESSING_MS = 90;
  private static final double PROCESSING_SIGMA = 0.3;
  private static final long TICK_MS = 20;
  private static final long IMPATIENT_RETRY_MS = 5;
  private static final int HOSTS = 18;

  /** What the callers of a source do. */
  enum Behaviour {
    /** They return after the time in Retry-After, up to a third of the time left. */
    PATIENT,
    /** They return a few milliseconds after each rejection. */
    IMPATIENT,
    /** They cancel after a short time and ask anew at once. */
    ABANDONING
  }

  /** A kind of callers with the same workspace, route, priority and behaviour. */
  record Source(
      String workspace, String route, int priority, double requestsPerSecond, Behaviour behaviour) {
    Source(String workspace, double requestsPerSecond) {
      this(workspace, "r", 1, requestsPerSecond, Behaviour.PATIENT);
    }

    Source withoutWorkspace() {
      return new Source("", route, priority, requestsPerSecond, behaviour);
    }
  }

  /** What became of the requests of a source. Answered includes the ones that were on time. */
  record Result(int asked, int onTime, int answered, long slotMs) {
    double answeredShare() {
      return answered / (double) asked;
    }

    double onTimeShare() {
      return onTime / (double) asked;
    }
  }

  private static final class Request {
    private final int source;
    private final long askedAtMs;
    private final double processingMs;
    private boolean finished;

    Request(int source, long askedAtMs, double processingMs) {
      this.source = source;
      this.askedAtMs = askedAtMs;
      this.processingMs = processingMs;
    }
  }

  private record Event(long atMs, long number, Runnable action) {}

  private final List<Source> sources;
  private final long lengthMs;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final int[] asked;
  private final int[] onTime;
  private final int[] answered;
  private final long[] slotMs;
  private final Map<PlacementKey, Request> requests = new HashMap<>();
  private final Map<PlacementKey, PlacementDecision.Placed> placements = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private long eventNumber;
  private long sequenceNumber;
  private long nowMs;

  ServiceReplay(List<Source> sources, int upstreams, long lengthMs, long seed) {
    this(sources, upstreams, lengthMs, seed, new FairShare());
  }

  ServiceReplay(
      List<Source> sources, int upstreams, long lengthMs, long seed, FairShare fairShare) {
    this.sources = sources;
    this.lengthMs = lengthMs;
    this.scheduler = new Scheduler(SETTINGS, new SplittableRandom(seed), fairShare);
    this.random = new SplittableRandom(seed);
    this.asked = new int[sources.size()];
    this.onTime = new int[sources.size()];
    this.answered = new int[sources.size()];
    this.slotMs = new long[sources.size()];
    List<UpstreamRegistration> registrations = new ArrayList<>();
    for (int u = 0; u < upstreams; u++) {
      registrations.add(
          new UpstreamRegistration(
              "u" + u, "s", new Address("127.0.0.1", 1_000 + u), "dc", 2, false, 0, 1, 0));
    }
    scheduler.updateUpstreams(SERVICE, registrations, 0);
  }

  List<Result> run() {
    for (int source = 0; source < sources.size(); source++) {
      scheduleArrival(source);
    }
    at(0, this::tick);
    while (!events.isEmpty()) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
    List<Result> results = new ArrayList<>();
    for (int s = 0; s < sources.size(); s++) {
      results.add(new Result(asked[s], onTime[s], answered[s], slotMs[s]));
    }
    return results;
  }

  private void at(long atMs, Runnable action) {
    events.add(new Event(atMs, ++eventNumber, action));
  }

  private void tick() {
    handle(scheduler.tick(nowMs));
    if (nowMs < lengthMs + DEADLINE_MS) {
      at(nowMs + TICK_MS, this::tick);
    }
  }

  private void scheduleArrival(int source) {
    double gapMs =
        -Math.log(1 - random.nextDouble()) * 1_000 / sources.get(source).requestsPerSecond;
    long atMs = nowMs + Math.max(1, Math.round(gapMs));
    if (atMs < lengthMs) {
      at(
          atMs,
          () -> {
            ask(source);
            scheduleArrival(source);
          });
    }
  }

  private void ask(int source) {
    double processingMs = PROCESSING_MS * Math.exp(PROCESSING_SIGMA * random.nextGaussian());
    asked[source]++;
    submit(new Request(source, nowMs, processingMs));
  }

  private void submit(Request request) {
    Source source = sources.get(request.source);
    long passedMs = nowMs - request.askedAtMs;
    var key = new PlacementKey((int) (sequenceNumber % HOSTS), ++sequenceNumber);
    requests.put(key, request);
    if (source.behaviour == Behaviour.ABANDONING) {
      at(nowMs + (long) (PROCESSING_MS / 2), () -> abandon(key, request));
    }
    handle(
        scheduler.submit(
            new PlacementRequest(
                key,
                "dc",
                source.route,
                source.priority,
                OBJECTIVE_MS,
                Math.max(0, OBJECTIVE_MS - passedMs),
                DEADLINE_MS - passedMs,
                0,
                false,
                Set.of(),
                source.workspace),
            nowMs));
  }

  private void handle(List<PlacementDecision> decisions) {
    for (PlacementDecision decision : decisions) {
      Request request = requests.get(decision.key());
      if (decision instanceof PlacementDecision.Placed placed) {
        long placedAtMs = nowMs;
        placements.put(placed.key(), placed);
        at(nowMs + Math.round(request.processingMs), () -> end(placed, request, placedAtMs));
      } else if (decision instanceof PlacementDecision.Rejected rejected) {
        retry(request, rejected);
      }
    }
  }

  private void retry(Request request, PlacementDecision.Rejected rejected) {
    long remainingMs = DEADLINE_MS - (nowMs - request.askedAtMs);
    boolean patient = sources.get(request.source).behaviour == Behaviour.PATIENT;
    long delayMs = patient ? rejected.retryAfterMs() : IMPATIENT_RETRY_MS;
    boolean returns = patient ? delayMs <= remainingMs / 3 : delayMs < remainingMs;
    if (returns && !request.finished) {
      at(nowMs + delayMs, () -> submit(request));
    }
  }

  private void abandon(PlacementKey key, Request request) {
    if (request.finished || nowMs >= lengthMs) {
      return;
    }
    request.finished = true;
    PlacementDecision.Placed placed = placements.remove(key);
    if (placed == null) {
      scheduler.cancel(key, nowMs);
    } else {
      handle(scheduler.report(report(placed, AttemptOutcome.ABANDONED, 0), nowMs));
    }
    ask(request.source);
  }

  private static AttemptReport report(
      PlacementDecision.Placed placed, AttemptOutcome outcome, long tookMs) {
    var load = new ReportedLoad(0, 0, 2, 100);
    return new AttemptReport(
        placed.key(), placed.upstream().id(), outcome, tookMs, Optional.of(load));
  }

  private void end(PlacementDecision.Placed placed, Request request, long placedAtMs) {
    if (placements.remove(placed.key()) == null) {
      return;
    }
    long tookMs = nowMs - placedAtMs;
    slotMs[request.source] += tookMs;
    long sinceAskedMs = nowMs - request.askedAtMs;
    if (!request.finished && sinceAskedMs < DEADLINE_MS) {
      request.finished = true;
      answered[request.source]++;
      onTime[request.source] += sinceAskedMs <= OBJECTIVE_MS ? 1 : 0;
    }
    handle(scheduler.report(report(placed, AttemptOutcome.ANSWERED, tookMs), nowMs));
  }
}
