package dev.cactusstack.decisions.rollouts;

import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.decisions.placing.Scheduler;
import dev.cactusstack.decisions.placing.SchedulerSettings;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.RolloutOrder;
import dev.cactusstack.model.site.RolloutState;
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
 * A service with upstreams of two versions and its scheduler, in virtual time. Requests that fail
 * are retried once. Confined to one thread.
 */
final class RolloutSimulation {
  static final long DURATION_MS = 40_000;
  private static final int OLD_UPSTREAMS = 4;
  private static final int NEW_UPSTREAMS = 3;
  private static final int SLOTS = 8;
  private static final int NEW_SLOTS = 4;
  private static final double MS_PER_SECOND = 1_000;
  private static final double OLD_FAILURE_RATE = 0.005;
  private static final double MEAN_MS = 60;
  private static final double SPREAD = 0.3;
  private static final long LATENCY_OBJECTIVE_MS = 500;
  private static final long DEADLINE_MS = 1_500;
  private static final long NETWORK_MS = 6;
  private static final long QUEUE_TICK_MS = 20;
  private static final long ADVANCE_MS = 100;
  private static final long ROLLBACK_MS = 5_000;
  private static final int TOLERATED_BAD = 50;

  /** How the new version behaves. */
  interface Behaviour {
    /** Returns the factor on the processing time; infinite for a failure. */
    double factor(String route, long elapsedMs, int running, SplittableRandom random);
  }

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<PlacementKey, PlacementRequest> requests = new HashMap<>();
  private final Map<String, UpstreamRegistration> upstreams = new HashMap<>();
  private final List<Long> badAtMs = new ArrayList<>();
  private final List<Long> newSentAtMs = new ArrayList<>();
  private final Map<String, Double> routes;
  private final double requestsPerSecond;
  private final Behaviour behaviour;
  private Scheduler scheduler;
  private Rollout rollout;
  private long numbers;
  private long sent;
  private long sentOldAfterVerdict;
  private long nowMs;
  private long verdictAtMs = -1;

  RolloutSimulation(
      long seed, double requestsPerSecond, Map<String, Double> routes, Behaviour behaviour) {
    this.random = new SplittableRandom(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.routes = routes;
    this.behaviour = behaviour;
    for (int i = 0; i < OLD_UPSTREAMS; i++) {
      add("old" + i, "v1", SLOTS, 0);
    }
    for (int i = 0; i < NEW_UPSTREAMS; i++) {
      add("new" + i, "v2", NEW_SLOTS, 3_000);
    }
    rollout = new Rollout(new RolloutOrder("s", "v2", DURATION_MS, 7));
    scheduler = newScheduler();
  }

  private void add(String id, String version, int slots, long coldMs) {
    upstreams.put(
        id,
        new UpstreamRegistration(
            id, "s", new Address("127.0.0.1", 80), "dc", slots, false, coldMs, 1, 1, version));
  }

  private Scheduler newScheduler() {
    var created = new Scheduler(new SchedulerSettings(12, 1, 12, 0.45, 1.5, 5), random.split());
    created.updateUpstreams(
        new ServiceSettings("s", "", 100, 3_000, 14), upstreams.values(), nowMs);
    created.updateRollout(Optional.of(rollout));
    return created;
  }

  Rollout rollout() {
    return rollout;
  }

  /** Replaces the scheduler by one on another host, which knows only what the store holds. */
  void changeScheduler() {
    RolloutState stored = rollout.state().isVerdict() ? rollout.state() : RolloutState.RUNNING;
    rollout = new Rollout(rollout.order());
    scheduler = newScheduler();
    rollout.adopt(stored, nowMs, true, nowMs);
  }

  /** Removes the upstreams of the old version, as when its servers stop. */
  void stopOldUpstreams() {
    upstreams.values().removeIf(upstream -> upstream.version().equals("v1"));
    scheduler.updateUpstreams(
        new ServiceSettings("s", "", 100, 3_000, 14), upstreams.values(), nowMs);
  }

  /** Runs until a time after the order. */
  RolloutSimulation runUntil(long endMs) {
    if (nowMs == 0) {
      rollout.adopt(RolloutState.RUNNING, 0, true, 0);
      schedule(1, this::arrive);
      schedule(1, this::tickQueue);
      schedule(1, this::advance);
    }
    while (!events.isEmpty() && events.peek().atMs <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = endMs;
    return this;
  }

  private void schedule(long inMs, Runnable action) {
    events.add(new Event(nowMs + inMs, numbers++, action));
  }

  private void arrive() {
    double gapMs = -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / requestsPerSecond;
    schedule(Math.max(1, Math.round(gapMs)), this::arrive);
    submit(chooseRoute(), Set.of(), DEADLINE_MS);
  }

  private String chooseRoute() {
    double left = random.nextDouble();
    String last = "";
    for (Map.Entry<String, Double> route : routes.entrySet()) {
      last = route.getKey();
      left -= route.getValue();
      if (left < 0) {
        break;
      }
    }
    return last;
  }

  private void submit(String route, Set<String> excluded, long deadlineMs) {
    var request =
        new PlacementRequest(
            new PlacementKey(1, numbers++),
            "dc",
            route,
            1,
            LATENCY_OBJECTIVE_MS,
            LATENCY_OBJECTIVE_MS,
            deadlineMs,
            0,
            false,
            excluded);
    requests.put(request.key(), request);
    handle(scheduler.submit(request, nowMs));
  }

  private void handle(List<PlacementDecision> decisions) {
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Placed placed) {
        send(placed);
      }
    }
  }

  private void send(PlacementDecision.Placed placed) {
    UpstreamRegistration upstream = placed.upstream();
    PlacementRequest request = requests.get(placed.key());
    boolean isNew = upstream.version().equals("v2");
    sent++;
    if (isNew) {
      newSentAtMs.add(nowMs);
    } else if (rollout.state() == RolloutState.SUCCEEDED) {
      sentOldAfterVerdict++;
    }
    int others = running.merge(upstream.id(), 1, Integer::sum) - 1;
    double factor =
        isNew
            ? behaviour.factor(request.route(), nowMs, others, random)
            : random.nextDouble() < OLD_FAILURE_RATE ? Double.POSITIVE_INFINITY : 1;
    boolean failed = factor == Double.POSITIVE_INFINITY;
    double slowdown = 1 + random.nextDouble() * 0.5;
    double noise = Math.exp(SPREAD * gaussian());
    long tookMs = NETWORK_MS + Math.round(MEAN_MS * noise * slowdown * (failed ? 1 : factor));
    boolean bad = isNew && factor > 2;
    var load = new ReportedLoad(0, 0, upstream.slots(), (int) Math.round(slowdown * 100));
    AttemptOutcome outcome =
        failed
            ? AttemptOutcome.FAILED
            : tookMs > request.deadlineRemainingMs()
                ? AttemptOutcome.TIMED_OUT
                : AttemptOutcome.ANSWERED;
    long endMs = Math.min(tookMs, request.deadlineRemainingMs());
    Scheduler placedBy = scheduler;
    schedule(
        endMs,
        () -> {
          running.merge(upstream.id(), -1, Integer::sum);
          if (bad) {
            badAtMs.add(nowMs);
          }
          var report =
              new AttemptReport(
                  placed.key(),
                  upstream.id(),
                  outcome,
                  endMs,
                  outcome == AttemptOutcome.TIMED_OUT ? Optional.empty() : Optional.of(load));
          handle(placedBy.report(report, nowMs));
          if (outcome == AttemptOutcome.FAILED && request.excludedUpstreams().isEmpty()) {
            submit(request.route(), Set.of(upstream.id()), request.deadlineRemainingMs() - endMs);
          }
        });
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private void tickQueue() {
    schedule(QUEUE_TICK_MS, this::tickQueue);
    handle(scheduler.tick(nowMs));
  }

  private void advance() {
    schedule(ADVANCE_MS, this::advance);
    rollout.advance(nowMs);
    if (verdictAtMs < 0 && rollout.state().isVerdict()) {
      verdictAtMs = nowMs;
    }
  }

  /** Returns when the verdict was reached, in milliseconds since the order; -1 if it was not. */
  long verdictAtMs() {
    return verdictAtMs;
  }

  long sent() {
    return sent;
  }

  long sentToNew() {
    return newSentAtMs.size();
  }

  long sentToNewAfter(long afterMs) {
    return newSentAtMs.stream().filter(atMs -> atMs > afterMs).count();
  }

  long sentToOldAfterSuccess() {
    return sentOldAfterVerdict;
  }

  long badAnswers() {
    return badAtMs.size();
  }

  /** Returns the requests that reached the new version too late after its 50th bad answer. */
  long sentAfterRollbackTime() {
    return badAtMs.size() < TOLERATED_BAD
        ? 0
        : sentToNewAfter(badAtMs.get(TOLERATED_BAD - 1) + ROLLBACK_MS);
  }

  String describe() {
    return "state=%s why=%s at=%d sent=%d new=%d bad=%d"
        .formatted(rollout.state(), rollout.reason(), verdictAtMs, sent, sentToNew(), badAnswers());
  }

  private record Event(long atMs, long number, Runnable action) {}
}
