package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Places the requests of one service on its upstreams.
 *
 * <p>A request goes to the upstream with a free slot where its answer is expected first. While no
 * free slot would let it meet its objective it waits here, not at an upstream, so that it takes
 * whichever good slot is free first. When more requests wait than can be on time, the oldest is
 * turned away at once; requests that can't be on time get what the others leave.
 *
 * <p>Invariant: no upstream holds more requests of this scheduler than it has slots. Confined to
 * one thread.
 */
public final class Scheduler {
  private static final long FRESH_MS = 150;
  private static final double ASK_RATE_MEMORY_MS = 1_000;
  private static final double MEAN_PACE_STEP = 0.05;
  private static final long LONGEST_HOLD_MS = 10_000;
  private static final double NO_UPSTREAM_MS = 300;
  private static final double ON_TIME_SLACK = 1.2;
  private static final double WAIT_SHARE = 0.4;

  private final SchedulerSettings settings;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<PlacementKey, Held> held = new HashMap<>();
  private final WaitingLine line = new WaitingLine();
  private final ProcessingTimes workTimes = new ProcessingTimes();
  private final Expectation expectation;
  private final ReturnTimes returnTimes = new ReturnTimes();
  private double meanPace = 1.3;
  private int coldBound;
  private double askRate;
  private long askRateAtMs;

  /**
   * Creates a scheduler that knows no upstreams.
   *
   * @param settings what to go by
   */
  public Scheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.expectation = new Expectation(settings, workTimes);
  }

  /**
   * Takes over which upstreams may get work.
   *
   * @param rule what operators say of the service
   * @param usable the upstreams that may get work
   * @param nowMs the present time on a steady clock, in milliseconds
   */
  public void updateUpstreams(
      ServiceSettings rule, Collection<UpstreamRegistration> usable, long nowMs) {
    coldBound = settings.warmupRequestLimit(rule.warmupRequestsPerSecond());
    Map<String, UpstreamLoad> kept = new HashMap<>();
    for (UpstreamRegistration e : usable) {
      UpstreamLoad load = loads.get(e.id());
      if (load == null) {
        load = new UpstreamLoad(e, nowMs);
      } else {
        load.announce(e, nowMs);
      }
      kept.put(e.id(), load);
    }
    loads.clear();
    loads.putAll(kept);
  }

  /**
   * Decides about a request. An ask that was decided already, and comes again because its answer
   * got lost, gets the same answer.
   *
   * @param ask the request
   * @param nowMs the present time on the same clock
   * @return a place, a wait, or a refusal; a refusal of another request that waited may come along
   */
  public List<PlacementDecision> submit(PlacementRequest ask, long nowMs) {
    Optional<PlacementDecision> known = decided(ask.key());
    if (known.isPresent()) {
      return List.of(known.get());
    }
    askRate = askRate(nowMs) + 1 / ASK_RATE_MEMORY_MS;
    askRateAtMs = nowMs;
    if (ask.hedge()) {
      return List.of(spare(ask, nowMs));
    }
    if (loads.values().stream().allMatch(l -> ask.excludedUpstreams().contains(l.entry().id()))) {
      return List.of(turnAway(ask, NO_UPSTREAM_MS, nowMs));
    }
    var newcomer = new WaitingLine.Waiting(ask, nowMs, 0);
    Optional<PlacementDecision> place = tryPlace(newcomer, nowMs);
    if (place.isPresent()) {
      return List.of(place.get());
    }
    if (onTime(newcomer, nowMs)) {
      return waitOnTime(ask, nowMs);
    }
    if (overloaded(nowMs) || expectedWaitMs(ask) > longestWaitMs(ask)) {
      return List.of(turnAway(ask, 0, nowMs));
    }
    line.add(ask, nowMs);
    return List.of(new PlacementDecision.Queued(ask.key()));
  }

  private Optional<PlacementDecision> decided(PlacementKey key) {
    Held h = held.get(key);
    UpstreamLoad load = h == null ? null : loads.get(h.upstream());
    if (load != null) {
      return Optional.of(new PlacementDecision.Placed(key, load.entry()));
    }
    return line.count(w -> w.ask().key().equals(key)) > 0
        ? Optional.of(new PlacementDecision.Queued(key))
        : Optional.empty();
  }

  /**
   * Places a second attempt if a slot is left over. Under high load it would take the slot of a
   * request that has none.
   */
  private PlacementDecision spare(PlacementRequest ask, long nowMs) {
    Optional<PlacementDecision> place =
        line.size() > 0
            ? Optional.empty()
            : tryPlace(new WaitingLine.Waiting(ask, nowMs, 0), nowMs);
    return place.orElseGet(() -> new PlacementDecision.Rejected(ask.key(), 0));
  }

  /** Lets a request wait that can be on time, in place of the oldest if too many wait. */
  private List<PlacementDecision> waitOnTime(PlacementRequest ask, long nowMs) {
    line.add(ask, nowMs);
    List<PlacementDecision> out = new ArrayList<>();
    out.add(new PlacementDecision.Queued(ask.key()));
    if (line.count(w -> onTime(w, nowMs)) > mostOnTime(ask)) {
      line.takeLast(w -> onTime(w, nowMs)).ifPresent(w -> out.add(turnAway(w.ask(), 0, nowMs)));
    }
    return out;
  }

  /** How many requests can get a slot while the newest of them can still be on time. */
  private double mostOnTime(PlacementRequest ask) {
    double wait = Math.max(0, ask.objectiveRemainingMs() - expectation.workMs(ask) * ON_TIME_SLACK);
    return 1 + wait / eachMs(ask);
  }

  /**
   * Takes in the end of an attempt, which frees a slot. The same end may be told more than once.
   *
   * @param r the end
   * @param nowMs the present time on the same clock
   * @return places for requests that waited
   */
  public List<PlacementDecision> report(AttemptReport r, long nowMs) {
    Held h = held.remove(r.key());
    if (h == null) {
      return List.of();
    }
    UpstreamLoad load = loads.get(r.upstreamId());
    if (load != null) {
      load.ended(r, nowMs);
    }
    if (r.outcome() == AttemptOutcome.ANSWERED && r.load().isPresent()) {
      learnMeanPace(r.load().get());
      workTimes.recordResponse(
          h.ask.route(), h.ask.latencyObjectiveMs(), r.durationMs(), r.load().get().slowdown());
    }
    return fill(nowMs);
  }

  /**
   * Chooses upstreams to probe: those with room of which nothing was heard lately, while those
   * known to be good are fewer than the requests that come before news of them does (after Prequal,
   * 2024: probes ahead of the requests that need them).
   *
   * @param nowMs the present time on the same clock
   * @return upstreams to probe now, those heard of least lately first
   */
  public List<UpstreamRegistration> selectProbeTargets(long nowMs) {
    List<UpstreamLoad> stale = new ArrayList<>();
    int good = 0;
    for (UpstreamLoad l : loads.values()) {
      if (l.knownGood(FRESH_MS, nowMs) && l.free(nowMs)) {
        good++;
      } else if (probeHelps(l, nowMs)) {
        stale.add(l);
      }
    }
    int wanted = (int) Math.ceil(askRate(nowMs) * FRESH_MS) - good;
    stale.sort(Comparator.comparingLong(l -> -l.paceAgeMs(nowMs)));
    List<UpstreamRegistration> out = new ArrayList<>();
    for (UpstreamLoad l : stale.subList(0, Math.max(0, Math.min(wanted, stale.size())))) {
      l.probeSent(nowMs);
      out.add(l.entry());
    }
    return out;
  }

  private static boolean probeHelps(UpstreamLoad l, long nowMs) {
    return l.paceAgeMs(nowMs) >= FRESH_MS
        && l.sinceProbeMs(nowMs) >= FRESH_MS
        && l.free(nowMs)
        && !l.resting(nowMs)
        && !l.cold(nowMs);
  }

  /** Requests a millisecond, as an exponentially weighted mean. */
  private double askRate(long nowMs) {
    return askRate * Math.exp(-(nowMs - askRateAtMs) / ASK_RATE_MEMORY_MS);
  }

  /**
   * Takes in an upstream's answer to a probe.
   *
   * @param upstream the upstream's identity
   * @param figures what it says of its load
   * @param nowMs the present time on the same clock
   * @return places for requests that waited
   */
  public List<PlacementDecision> recordProbeResponse(
      String upstream, ReportedLoad figures, long nowMs) {
    UpstreamLoad load = loads.get(upstream);
    if (load != null) {
      load.probed(figures, nowMs);
      learnMeanPace(figures);
    }
    return fill(nowMs);
  }

  private void learnMeanPace(ReportedLoad figures) {
    meanPace += (figures.slowdown() - meanPace) * MEAN_PACE_STEP;
  }

  /**
   * Forgets a request that no longer wants a place.
   *
   * @param key its ask
   */
  public void cancel(PlacementKey key) {
    line.remove(key);
    Held h = held.remove(key);
    UpstreamLoad load = h == null ? null : loads.get(h.upstream());
    if (load != null) {
      load.release(key);
    }
  }

  /**
   * Places requests for which there is room by now, and turns away those that waited too long.
   *
   * @param nowMs the present time on the same clock
   * @return the decisions
   */
  public List<PlacementDecision> tick(long nowMs) {
    loads.values().forEach(l -> l.dropHoldsBefore(nowMs - LONGEST_HOLD_MS));
    held.values().removeIf(h -> h.sinceMs < nowMs - LONGEST_HOLD_MS);
    List<PlacementDecision> out = new ArrayList<>(fill(nowMs));
    boolean overloaded = overloaded(nowMs);
    List<WaitingLine.Waiting> hopeless =
        line.takeAll(
            w -> !onTime(w, nowMs) && (overloaded || w.waitedMs(nowMs) >= longestWaitMs(w.ask())));
    hopeless.forEach(w -> out.add(turnAway(w.ask(), 0, nowMs)));
    return out;
  }

  /** Tells whether requests that can be on time wait, so that others have no room. */
  private boolean overloaded(long nowMs) {
    return line.count(w -> onTime(w, nowMs)) > 0;
  }

  private boolean onTime(WaitingLine.Waiting w, long nowMs) {
    return w.onTimeMs(nowMs) >= expectation.workMs(w.ask()) * ON_TIME_SLACK;
  }

  private static double longestWaitMs(PlacementRequest ask) {
    return Math.min(ask.latencyObjectiveMs(), ask.deadlineRemainingMs() * WAIT_SHARE);
  }

  private PlacementDecision turnAway(PlacementRequest ask, double aheadMs, long nowMs) {
    double ahead = Math.max(aheadMs, expectedWaitMs(ask));
    return new PlacementDecision.Rejected(ask.key(), returnTimes.next(ahead, eachMs(ask), nowMs));
  }

  /**
   * Tells whether requests wait.
   *
   * @return true while a tick may have something to do soon
   */
  public boolean hasQueuedRequests() {
    return line.size() > 0;
  }

  /**
   * Says what is known of an upstream, for a log line.
   *
   * @param upstream the upstream's identity
   * @param nowMs the present time on the same clock
   * @return occupied slots, expected pace and the age of its report, faults, requests waiting
   */
  public String describeUpstream(String upstream, long nowMs) {
    UpstreamLoad l = loads.get(upstream);
    return l == null ? "unknown" : l.describe(meanPace, nowMs) + ",waiting=" + line.size();
  }

  private List<PlacementDecision> fill(long nowMs) {
    if (line.size() == 0) {
      return List.of();
    }
    List<PlacementDecision> out = new ArrayList<>();
    for (WaitingLine.Waiting w : line.ordered(x -> onTime(x, nowMs))) {
      tryPlace(w, nowMs)
          .ifPresent(
              v -> {
                line.remove(w.ask().key());
                out.add(v);
              });
    }
    return out;
  }

  /**
   * Places a request if a free slot is good for it: one on which it will be on time if it can be,
   * else one on which it gets an answer at all.
   */
  private Optional<PlacementDecision> tryPlace(WaitingLine.Waiting w, long nowMs) {
    Optional<UpstreamLoad> best = best(w.ask(), nowMs);
    if (best.isEmpty()) {
      return Optional.empty();
    }
    double expected = expectation.ms(best.get(), w.ask(), meanPace, nowMs);
    double bound = onTime(w, nowMs) ? w.onTimeMs(nowMs) : w.leftMs(nowMs);
    return expected <= bound ? Optional.of(place(w.ask(), best.get(), nowMs)) : Optional.empty();
  }

  private PlacementDecision place(PlacementRequest ask, UpstreamLoad load, long nowMs) {
    load.hold(ask.key(), expectation.workMs(ask), nowMs);
    held.put(ask.key(), new Held(ask, load.entry().id(), nowMs));
    return new PlacementDecision.Placed(ask.key(), load.entry());
  }

  private Optional<UpstreamLoad> best(PlacementRequest ask, long nowMs) {
    UpstreamLoad best = null;
    double bestMs = Double.MAX_VALUE;
    boolean allRest = loads.values().stream().allMatch(l -> l.resting(nowMs));
    for (UpstreamLoad l : loads.values()) {
      if (!eligible(l, ask.excludedUpstreams(), allRest, nowMs)) {
        continue;
      }
      double ms = expectation.ms(l, ask, meanPace, nowMs);
      if (ms < bestMs) {
        best = l;
        bestMs = ms;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean eligible(UpstreamLoad l, Set<String> tried, boolean allRest, long nowMs) {
    if (!l.free(nowMs) || tried.contains(l.entry().id())) {
      return false;
    }
    if (l.cold(nowMs) && !l.coldAllows(coldBound, nowMs)) {
      return false;
    }
    if (allRest) {
      return true;
    }
    return !l.resting(nowMs) && (!l.onTrial() || l.idle());
  }

  private double expectedWaitMs(PlacementRequest ask) {
    return (line.size() + 1) * eachMs(ask);
  }

  /** Time between two requests like this that the service can take. */
  private double eachMs(PlacementRequest ask) {
    int slots = loads.values().stream().mapToInt(l -> l.entry().slots()).sum();
    return expectation.workMs(ask) * meanPace / Math.max(1, slots);
  }

  private record Held(PlacementRequest ask, String upstream, long sinceMs) {}
}
