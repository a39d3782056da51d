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
import java.util.random.RandomGenerator;

/**
 * Places the requests of one service on its upstreams.
 *
 * <p>A request is placed on the upstream with a free slot that has the lowest expected response
 * time. While no free slot would let it meet its latency objective, it is queued here rather than
 * at an upstream, so that it gets the first suitable slot of any upstream. If more requests are
 * queued than can meet their objective, the oldest is rejected immediately. Requests that can no
 * longer meet their objective get only the slots that the others do not need.
 *
 * <p>Invariant: no upstream holds more requests of this scheduler than it has slots. Confined to
 * one thread.
 */
public final class Scheduler {
  private static final long LOAD_FRESHNESS_MS = 150;
  private static final double ARRIVAL_RATE_DECAY_MS = 1_000;
  private static final double MEAN_SLOWDOWN_SMOOTHING = 0.05;
  private static final long MAX_SLOT_HOLD_MS = 10_000;
  private static final double NO_UPSTREAM_RETRY_AFTER_MS = 300;
  private static final double ON_TIME_SAFETY_FACTOR = 1.2;
  private static final double MAX_WAIT_SHARE_OF_DEADLINE = 0.4;

  /** Costs that differ by less are considered equal. */
  private static final double EQUAL_COST_MS = 2;

  private final SchedulerSettings settings;
  private final RandomGenerator random;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<PlacementKey, PlacedRequest> placedRequests = new HashMap<>();
  private final RequestQueue queue = new RequestQueue();
  private final ProcessingTimes processingTimes = new ProcessingTimes();
  private final ResponseTimeEstimator responseTimeEstimator;
  private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();
  private double meanSlowdown = 1.3;
  private int warmupLimit;
  private double arrivalRate;
  private long arrivalRateAtMs;

  /**
   * Creates a scheduler without upstreams.
   *
   * @param settings the cost model and warm-up limits
   * @param random chooses among upstreams of equal cost, so that hosts that decide alone without
   *     knowing any load do not all choose the same one
   */
  public Scheduler(SchedulerSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    this.responseTimeEstimator = new ResponseTimeEstimator(settings, processingTimes);
  }

  /**
   * Replaces the set of upstreams that can receive requests.
   *
   * @param serviceSettings the operators' settings for the service
   * @param usable the upstreams that can receive requests
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void updateUpstreams(
      ServiceSettings serviceSettings, Collection<UpstreamRegistration> usable, long nowMs) {
    warmupLimit = settings.warmupRequestLimit(serviceSettings.warmupRequestsPerSecond());
    Map<String, UpstreamLoad> nextLoads = new HashMap<>();
    for (UpstreamRegistration usableUpstream : usable) {
      UpstreamLoad load = loads.get(usableUpstream.id());
      if (load == null) {
        load = new UpstreamLoad(usableUpstream, nowMs);
      } else {
        load.updateRegistration(usableUpstream, nowMs);
      }
      nextLoads.put(usableUpstream.id(), load);
    }
    loads.clear();
    loads.putAll(nextLoads);
  }

  /**
   * Places, queues or rejects a request. A request that is submitted again, because the decision
   * was lost on its way to the host, gets the same decision.
   *
   * @param request the request
   * @param nowMs the current time on the same clock
   * @return the decision on the request; a rejection of another, queued request may follow it
   */
  public List<PlacementDecision> submit(PlacementRequest request, long nowMs) {
    Optional<PlacementDecision> existing = findDecision(request.key());
    if (existing.isPresent()) {
      return List.of(existing.get());
    }
    arrivalRate = arrivalRate(nowMs) + 1 / ARRIVAL_RATE_DECAY_MS;
    arrivalRateAtMs = nowMs;
    if (request.hedge()) {
      return List.of(placeHedge(request, nowMs));
    }
    List<UpstreamLoad> candidates = candidates(request);
    if (candidates.isEmpty()) {
      return List.of(reject(request, NO_UPSTREAM_RETRY_AFTER_MS, nowMs));
    }
    long heldOffMs = heldOffMs(candidates, request, nowMs);
    if (heldOffMs > 0 && heldOffMs > maxWaitMs(request)) {
      return List.of(new PlacementDecision.Rejected(request.key(), heldOffMs));
    }
    var candidate = new RequestQueue.QueuedRequest(request, nowMs, 0);
    Optional<PlacementDecision> placement = tryPlace(candidate, nowMs);
    if (placement.isPresent()) {
      return List.of(placement.get());
    }
    if (canMeetObjective(candidate, nowMs)) {
      return enqueueOnTime(request, nowMs);
    }
    if (isOverloaded(nowMs) || expectedWaitMs(request) > maxWaitMs(request)) {
      return List.of(reject(request, 0, nowMs));
    }
    queue.add(request, nowMs);
    return List.of(new PlacementDecision.Queued(request.key()));
  }

  /** Returns the upstreams that the request may ever be placed on. */
  private List<UpstreamLoad> candidates(PlacementRequest request) {
    return loads.values().stream()
        .filter(upstream -> !upstream.isLeaving())
        .filter(upstream -> !request.excludedUpstreams().contains(upstream.registration().id()))
        .toList();
  }

  /** Returns when the first of several upstreams takes requests of the host, in milliseconds. */
  private static long heldOffMs(
      List<UpstreamLoad> candidates, PlacementRequest request, long nowMs) {
    return candidates.stream()
        .mapToLong(upstream -> upstream.heldOffMs(request.key().hostHash(), nowMs))
        .min()
        .orElse(0);
  }

  /**
   * Records what an upstream has said about itself to a host.
   *
   * @param upstreamId the upstream's identity
   * @param hostHash hash of the host's name
   * @param notice what it said
   * @param nowMs the current time on the same clock
   */
  public void recordNotice(String upstreamId, int hostHash, UpstreamNotice notice, long nowMs) {
    UpstreamLoad load = loads.get(upstreamId);
    if (load != null) {
      load.recordNotice(hostHash, notice, nowMs);
    }
  }

  private Optional<PlacementDecision> findDecision(PlacementKey key) {
    PlacedRequest placed = placedRequests.get(key);
    UpstreamLoad load = placed == null ? null : loads.get(placed.upstreamId());
    if (load != null) {
      return Optional.of(new PlacementDecision.Placed(key, load.registration()));
    }
    return queue.count(queued -> queued.request().key().equals(key)) > 0
        ? Optional.of(new PlacementDecision.Queued(key))
        : Optional.empty();
  }

  /**
   * Places a hedge if a slot is free and no request is queued. Under high load a hedge would take
   * the slot of a request that has none.
   */
  private PlacementDecision placeHedge(PlacementRequest request, long nowMs) {
    Optional<PlacementDecision> placement =
        queue.size() > 0
            ? Optional.empty()
            : tryPlace(new RequestQueue.QueuedRequest(request, nowMs, 0), nowMs);
    return placement.orElseGet(() -> new PlacementDecision.Rejected(request.key(), 0));
  }

  /**
   * Queues a request that can meet its objective. If too many are queued, the oldest gets a slot
   * that is too slow for all of them, or is rejected if there is none.
   */
  private List<PlacementDecision> enqueueOnTime(PlacementRequest request, long nowMs) {
    queue.add(request, nowMs);
    List<PlacementDecision> decisions = new ArrayList<>();
    decisions.add(new PlacementDecision.Queued(request.key()));
    if (queue.count(queued -> canMeetObjective(queued, nowMs)) > maxOnTimeRequests(request)) {
      queue
          .removeLast(queued -> canMeetObjective(queued, nowMs))
          .ifPresent(queued -> decisions.add(placeLateOrReject(queued, nowMs)));
    }
    return decisions;
  }

  private PlacementDecision placeLateOrReject(RequestQueue.QueuedRequest queued, long nowMs) {
    return tryPlace(queued, queued.deadlineRemainingMs(nowMs), nowMs)
        .orElseGet(() -> reject(queued.request(), 0, nowMs));
  }

  /** Returns how many requests can get a slot before the newest of them misses its objective. */
  private double maxOnTimeRequests(PlacementRequest request) {
    double maxWait =
        Math.max(
            0,
            request.objectiveRemainingMs()
                - responseTimeEstimator.processingMs(request) * ON_TIME_SAFETY_FACTOR);
    return 1 + maxWait / serviceIntervalMs(request);
  }

  /**
   * Records the end of an attempt, which releases its slot. The same attempt may be reported more
   * than once.
   *
   * @param attempt how the attempt ended
   * @param nowMs the current time on the same clock
   * @return decisions on queued requests that were placed
   */
  public List<PlacementDecision> report(AttemptReport attempt, long nowMs) {
    recordNotice(attempt.upstreamId(), attempt.key().hostHash(), attempt.notice(), nowMs);
    PlacedRequest placed = placedRequests.remove(attempt.key());
    if (placed == null) {
      return List.of();
    }
    UpstreamLoad load = loads.get(attempt.upstreamId());
    if (load != null) {
      load.recordAttempt(attempt, nowMs);
    }
    if (attempt.outcome() == AttemptOutcome.ANSWERED && attempt.load().isPresent()) {
      updateMeanSlowdown(attempt.load().get());
      processingTimes.recordResponse(
          placed.request.route(),
          placed.request.latencyObjectiveMs(),
          attempt.durationMs(),
          attempt.load().get().slowdown());
    }
    return placeQueued(nowMs);
  }

  /**
   * Selects upstreams to probe: those with free slots and no recent load report, as long as fewer
   * upstreams are known to be good than requests are expected until the next report arrives. Probes
   * are sent ahead of the requests that need them, as in Prequal (2024).
   *
   * @param nowMs the current time on the same clock
   * @return the upstreams to probe now, those with the oldest report first
   */
  public List<UpstreamRegistration> selectProbeTargets(long nowMs) {
    List<UpstreamLoad> stale = new ArrayList<>();
    int good = 0;
    for (UpstreamLoad upstream : loads.values()) {
      if (upstream.isKnownGood(LOAD_FRESHNESS_MS, nowMs) && upstream.hasFreeSlot(nowMs)) {
        good++;
      } else if (isProbeUseful(upstream, nowMs)) {
        stale.add(upstream);
      }
    }
    int wanted = (int) Math.ceil(arrivalRate(nowMs) * LOAD_FRESHNESS_MS) - good;
    stale.sort(Comparator.comparingLong(upstream -> -upstream.slowdownAgeMs(nowMs)));
    List<UpstreamRegistration> targets = new ArrayList<>();
    for (UpstreamLoad upstream : stale.subList(0, Math.max(0, Math.min(wanted, stale.size())))) {
      upstream.recordProbeSent(nowMs);
      targets.add(upstream.registration());
    }
    return targets;
  }

  private static boolean isProbeUseful(UpstreamLoad upstream, long nowMs) {
    return upstream.slowdownAgeMs(nowMs) >= LOAD_FRESHNESS_MS
        && upstream.probeAgeMs(nowMs) >= LOAD_FRESHNESS_MS
        && upstream.hasFreeSlot(nowMs)
        && !upstream.isLeaving()
        && !upstream.isBackingOff(nowMs)
        && !upstream.isCold(nowMs);
  }

  /** Returns the exponentially weighted mean arrival rate, in requests per millisecond. */
  private double arrivalRate(long nowMs) {
    return arrivalRate * Math.exp(-(nowMs - arrivalRateAtMs) / ARRIVAL_RATE_DECAY_MS);
  }

  /**
   * Records an upstream's response to a probe.
   *
   * @param upstreamId the upstream's identity
   * @param reportedLoad the load that the upstream reported
   * @param nowMs the current time on the same clock
   * @return decisions on queued requests that were placed
   */
  public List<PlacementDecision> recordProbeResponse(
      String upstreamId, ReportedLoad reportedLoad, long nowMs) {
    UpstreamLoad load = loads.get(upstreamId);
    if (load != null) {
      load.recordProbeResponse(reportedLoad, nowMs);
      updateMeanSlowdown(reportedLoad);
    }
    return placeQueued(nowMs);
  }

  private void updateMeanSlowdown(ReportedLoad reportedLoad) {
    meanSlowdown += (reportedLoad.slowdown() - meanSlowdown) * MEAN_SLOWDOWN_SMOOTHING;
  }

  /**
   * Cancels a request: removes it from the queue and releases its slot.
   *
   * @param key the key of the request
   */
  public void cancel(PlacementKey key) {
    queue.remove(key);
    PlacedRequest placed = placedRequests.remove(key);
    UpstreamLoad load = placed == null ? null : loads.get(placed.upstreamId());
    if (load != null) {
      load.releaseSlot(key);
    }
  }

  /**
   * Places queued requests for which a slot is now available and rejects those that have waited too
   * long.
   *
   * @param nowMs the current time on the same clock
   * @return the decisions
   */
  public List<PlacementDecision> tick(long nowMs) {
    loads.values().forEach(upstream -> upstream.releaseSlotsHeldBefore(nowMs - MAX_SLOT_HOLD_MS));
    placedRequests.values().removeIf(placed -> placed.placedAtMs < nowMs - MAX_SLOT_HOLD_MS);
    List<PlacementDecision> decisions = new ArrayList<>(placeQueued(nowMs));
    boolean overloaded = isOverloaded(nowMs);
    List<RequestQueue.QueuedRequest> expired =
        queue.removeAll(
            queued ->
                !canMeetObjective(queued, nowMs)
                    && (overloaded || queued.waitedMs(nowMs) >= maxWaitMs(queued.request())));
    expired.forEach(queued -> decisions.add(reject(queued.request(), 0, nowMs)));
    return decisions;
  }

  /**
   * Checks whether requests are queued that can meet their objective, so that no slots are left for
   * other requests.
   */
  private boolean isOverloaded(long nowMs) {
    return queue.count(queued -> canMeetObjective(queued, nowMs)) > 0;
  }

  private boolean canMeetObjective(RequestQueue.QueuedRequest queued, long nowMs) {
    return queued.objectiveRemainingMs(nowMs)
        >= responseTimeEstimator.processingMs(queued.request()) * ON_TIME_SAFETY_FACTOR;
  }

  private static double maxWaitMs(PlacementRequest request) {
    return Math.min(
        request.latencyObjectiveMs(), request.deadlineRemainingMs() * MAX_WAIT_SHARE_OF_DEADLINE);
  }

  private PlacementDecision reject(PlacementRequest request, double minQueuedWorkMs, long nowMs) {
    double queuedWorkMs = Math.max(minQueuedWorkMs, expectedWaitMs(request));
    return new PlacementDecision.Rejected(
        request.key(),
        retryAfterSchedule.nextRetryAfterMs(queuedWorkMs, serviceIntervalMs(request), nowMs));
  }

  /**
   * Checks whether requests are queued.
   *
   * @return true if {@link #tick} has to be called again soon
   */
  public boolean hasQueuedRequests() {
    return queue.size() > 0;
  }

  /**
   * Describes what the scheduler knows about an upstream, for a log line.
   *
   * @param upstreamId the upstream's identity
   * @param nowMs the current time on the same clock
   * @return the occupied slots, the expected slowdown and the age of its report, the fault rate and
   *     the number of queued requests
   */
  public String describeUpstream(String upstreamId, long nowMs) {
    UpstreamLoad upstream = loads.get(upstreamId);
    return upstream == null
        ? "unknown"
        : upstream.describe(meanSlowdown, nowMs) + ",waiting=" + queue.size();
  }

  private List<PlacementDecision> placeQueued(long nowMs) {
    if (queue.size() == 0) {
      return List.of();
    }
    List<PlacementDecision> decisions = new ArrayList<>();
    for (RequestQueue.QueuedRequest queued :
        queue.inServiceOrder(other -> canMeetObjective(other, nowMs))) {
      tryPlace(queued, nowMs)
          .ifPresent(
              decision -> {
                queue.remove(queued.request().key());
                decisions.add(decision);
              });
    }
    return decisions;
  }

  /**
   * Places a request if a suitable slot is free: one on which it meets its latency objective or, if
   * it can no longer meet that, one on which it is expected to finish before its deadline.
   */
  private Optional<PlacementDecision> tryPlace(RequestQueue.QueuedRequest queued, long nowMs) {
    double limitMs =
        canMeetObjective(queued, nowMs)
            ? queued.objectiveRemainingMs(nowMs)
            : queued.deadlineRemainingMs(nowMs);
    return tryPlace(queued, limitMs, nowMs);
  }

  private Optional<PlacementDecision> tryPlace(
      RequestQueue.QueuedRequest queued, double limitMs, long nowMs) {
    Optional<UpstreamLoad> bestUpstream = findBestUpstream(queued.request(), nowMs);
    if (bestUpstream.isEmpty()) {
      return Optional.empty();
    }
    double expectedMs =
        responseTimeEstimator.responseMs(bestUpstream.get(), queued.request(), meanSlowdown, nowMs);
    return expectedMs <= limitMs
        ? Optional.of(place(queued.request(), bestUpstream.get(), nowMs))
        : Optional.empty();
  }

  private PlacementDecision place(PlacementRequest request, UpstreamLoad load, long nowMs) {
    load.holdSlot(request.key(), responseTimeEstimator.processingMs(request), nowMs);
    placedRequests.put(request.key(), new PlacedRequest(request, load.registration().id(), nowMs));
    return new PlacementDecision.Placed(request.key(), load.registration());
  }

  private Optional<UpstreamLoad> findBestUpstream(PlacementRequest request, long nowMs) {
    List<UpstreamLoad> cheapest = new ArrayList<>();
    double lowestCostMs = Double.MAX_VALUE;
    boolean allBackingOff =
        loads.values().stream().allMatch(upstream -> upstream.isBackingOff(nowMs));
    for (UpstreamLoad upstream : loads.values()) {
      if (!isEligible(upstream, request, allBackingOff, nowMs)) {
        continue;
      }
      double costMs = responseTimeEstimator.costMs(upstream, request, meanSlowdown, nowMs);
      if (costMs < lowestCostMs - EQUAL_COST_MS) {
        cheapest.clear();
      }
      if (costMs < lowestCostMs + EQUAL_COST_MS) {
        cheapest.add(upstream);
      }
      lowestCostMs = Math.min(lowestCostMs, costMs);
    }
    return cheapest.isEmpty()
        ? Optional.empty()
        : Optional.of(cheapest.get(random.nextInt(cheapest.size())));
  }

  private boolean isEligible(
      UpstreamLoad upstream, PlacementRequest request, boolean allBackingOff, long nowMs) {
    if (!upstream.hasFreeSlot(nowMs)
        || request.excludedUpstreams().contains(upstream.registration().id())) {
      return false;
    }
    if (upstream.isLeaving() || upstream.heldOffMs(request.key().hostHash(), nowMs) > 0) {
      return false;
    }
    if (upstream.isCold(nowMs) && !upstream.warmupRateAllows(warmupLimit, nowMs)) {
      return false;
    }
    if (allBackingOff) {
      return true;
    }
    return !upstream.isBackingOff(nowMs) && (!upstream.isOnTrial() || upstream.isIdle());
  }

  private double expectedWaitMs(PlacementRequest request) {
    return (queue.size() + 1) * serviceIntervalMs(request);
  }

  /** Returns the interval at which the service can take requests like this one. */
  private double serviceIntervalMs(PlacementRequest request) {
    int slots = loads.values().stream().mapToInt(upstream -> upstream.registration().slots()).sum();
    return responseTimeEstimator.processingMs(request) * meanSlowdown / Math.max(1, slots);
  }

  private record PlacedRequest(PlacementRequest request, String upstreamId, long placedAtMs) {}
}
