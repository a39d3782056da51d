package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.rollouts.Rollout;
import dev.cactusstack.model.site.ServiceSettings;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places the requests of one service on its upstreams.
 *
 * <p>A request is placed on the upstream with a free slot that has the lowest expected response
 * time. While no free slot would let it meet its latency objective, it is queued here rather than
 * at an upstream, so that it gets the first suitable slot of any upstream. If more requests are
 * queued than can meet their objective, the one that would be served last is rejected immediately.
 * Requests that can no longer meet their objective get only the slots that the others do not need.
 *
 * <p>Invariants: no upstream holds more requests of this scheduler than it has slots. Each
 * placement on an upstream that is known to limit its requests is counted against this scheduler's
 * share of the limit. Confined to one thread.
 */
public final class Scheduler {
  private static final double ARRIVAL_RATE_DECAY_MS = 1_000;
  private static final double NO_UPSTREAM_RETRY_AFTER_MS = 300;
  private static final double ON_TIME_SAFETY_FACTOR = 1.2;
  private static final double MAX_WAIT_SHARE_OF_DEADLINE = 0.4;

  /** Time that a host may take to ask for the placement of a request that has just arrived. */
  private static final long FIRST_ATTEMPT_TOLERANCE_MS = 2;

  private final RolloutPlacements rolloutPlacements = new RolloutPlacements();
  private final UpstreamPool upstreams;
  private final OpenPlacements openPlacements;
  private final FairShare fairShare;
  private final RequestQueue queue;
  private final ProcessingTimes processingTimes = new ProcessingTimes();
  private final ResponseTimeEstimator responseTimeEstimator;
  private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();
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
    this(settings, random, new FairShare());
  }

  Scheduler(SchedulerSettings settings, RandomGenerator random, FairShare fairShare) {
    this.fairShare = fairShare;
    this.queue = new RequestQueue(fairShare);
    this.responseTimeEstimator = new ResponseTimeEstimator(settings, processingTimes);
    this.upstreams = new UpstreamPool(settings, random, responseTimeEstimator, rolloutPlacements);
    this.openPlacements = new OpenPlacements(upstreams, fairShare, rolloutPlacements);
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
    upstreams.update(serviceSettings, usable, nowMs);
  }

  /**
   * Sets the share of the upstreams' limits that this scheduler may use. It is 0 at first, with
   * which no request is placed on a limited upstream.
   *
   * @param share the share, from 0 to 1
   * @param nowMs the current time on the same clock
   */
  public void updateLimitShare(double share, long nowMs) {
    upstreams.updateLimitShare(share, nowMs);
  }

  /**
   * Sets the roll-out whose state decides which versions are used.
   *
   * @param rollout the roll-out; empty if none is ordered, so that versions don't matter
   */
  public void updateRollout(Optional<Rollout> rollout) {
    rolloutPlacements.update(rollout.orElse(null));
  }

  /**
   * Records a limit that another host knows of.
   *
   * @param limit the limit; ignored unless that start of the upstream is in use or was lately
   * @param nowMs the current time on the same clock
   */
  public void recordLimit(UpstreamLimit limit, long nowMs) {
    upstreams
        .findAlsoAbsent(limit.upstreamId(), limit.startedAtMs())
        .ifPresent(load -> load.limit().record(limit.limit(), nowMs));
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
    Optional<PlacementDecision> existing = findDecision(request.key(), nowMs);
    if (existing.isPresent()) {
      return List.of(existing.get());
    }
    arrivalRate = arrivalRate(nowMs) + 1 / ARRIVAL_RATE_DECAY_MS;
    arrivalRateAtMs = nowMs;
    if (request.hedge()) {
      return List.of(placeHedge(request, nowMs));
    }
    if (isFirstAttempt(request)) {
      fairShare.recordAsked(request.workspace(), nowMs);
    }
    double takenMs = upstreams.timeUntilTakenMs(request, nowMs);
    if (takenMs == Double.POSITIVE_INFINITY) {
      return List.of(reject(request, NO_UPSTREAM_RETRY_AFTER_MS, nowMs));
    }
    if (takenMs > 0 && takenMs > maxWaitMs(request)) {
      return List.of(reject(request, takenMs, nowMs));
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

  /** Checks that a request is not a retry: its objective counts from its caller's first attempt. */
  private static boolean isFirstAttempt(PlacementRequest request) {
    return request.objectiveRemainingMs()
        >= request.latencyObjectiveMs() - FIRST_ATTEMPT_TOLERANCE_MS;
  }

  /**
   * Records what an upstream has said about itself to a host.
   *
   * @param upstream the upstream, in the start that said it
   * @param hostHash hash of the host's name
   * @param notice what it said
   * @param nowMs the current time on the same clock
   */
  public void recordNotice(
      UpstreamRegistration upstream, int hostHash, UpstreamNotice notice, long nowMs) {
    upstreams
        .findAlsoAbsent(upstream.id(), upstream.startedAtMs())
        .ifPresent(load -> load.recordNotice(hostHash, notice, nowMs));
  }

  private Optional<PlacementDecision> findDecision(PlacementKey key, long nowMs) {
    Optional<PlacementDecision> placed = openPlacements.findDecision(key, nowMs);
    if (placed.isPresent()) {
      return placed;
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
   * Queues a request that can meet its objective. If too many are queued, the one that would be
   * served last gets a slot that is too slow for all of them, or is rejected if there is none.
   */
  private List<PlacementDecision> enqueueOnTime(PlacementRequest request, long nowMs) {
    queue.add(request, nowMs);
    List<PlacementDecision> decisions = new ArrayList<>();
    decisions.add(new PlacementDecision.Queued(request.key()));
    if (queue.count(queued -> canMeetObjective(queued, nowMs)) > maxOnTimeRequests(request)) {
      queue
          .removeLast(queued -> canMeetObjective(queued, nowMs), nowMs)
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
    return 1 + maxWait / upstreams.serviceIntervalMs(request);
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
    Optional<PlacementRequest> request = openPlacements.end(attempt, nowMs);
    if (request.isEmpty()) {
      return List.of();
    }
    if (attempt.outcome() == AttemptOutcome.ANSWERED && attempt.load().isPresent()) {
      upstreams.updateMeanSlowdown(attempt.load().get());
      processingTimes.recordResponse(
          request.get().route(),
          request.get().latencyObjectiveMs(),
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
    return upstreams.selectProbeTargets(arrivalRate(nowMs), nowMs);
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
    Optional<UpstreamLoad> load = upstreams.find(upstreamId);
    if (load.isPresent()) {
      load.get().recordProbeResponse(reportedLoad, nowMs);
      upstreams.updateMeanSlowdown(reportedLoad);
    }
    return placeQueued(nowMs);
  }

  /**
   * Cancels a request: removes it from the queue and releases its slot.
   *
   * @param key the key of the request, of which nothing was sent
   * @param nowMs the current time on the same clock
   */
  public void cancel(PlacementKey key, long nowMs) {
    queue.remove(key);
    openPlacements.cancel(key, nowMs);
  }

  /**
   * Places queued requests for which a slot is now available and rejects those that have waited too
   * long.
   *
   * @param nowMs the current time on the same clock
   * @return the decisions
   */
  public List<PlacementDecision> tick(long nowMs) {
    openPlacements.expire(nowMs);
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

  /** Rejects a request that can be served after some time at the earliest. */
  private PlacementDecision reject(PlacementRequest request, double minWaitMs, long nowMs) {
    long retryAfterMs =
        retryAfterSchedule.nextRetryAfterMs(
            Math.max(minWaitMs, expectedWaitMs(request)),
            upstreams.serviceIntervalMs(request),
            nowMs);
    return new PlacementDecision.Rejected(request.key(), Math.max((long) minWaitMs, retryAfterMs));
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
    return upstreams
        .describe(upstreamId, nowMs)
        .map(load -> load + ",waiting=" + queue.size())
        .orElse("unknown");
  }

  private List<PlacementDecision> placeQueued(long nowMs) {
    if (queue.size() == 0) {
      return List.of();
    }
    List<PlacementDecision> decisions = new ArrayList<>();
    for (RequestQueue.QueuedRequest queued :
        queue.inServiceOrder(other -> canMeetObjective(other, nowMs), nowMs)) {
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
    PlacementRequest request = queued.request();
    return upstreams
        .findBestCanary(request, nowMs)
        .filter(best -> upstreams.responseMs(best, request, nowMs) <= limitMs)
        .or(
            () ->
                upstreams
                    .findBest(request, nowMs)
                    .filter(best -> upstreams.responseMs(best, request, nowMs) <= limitMs))
        .map(best -> place(request, best, nowMs));
  }

  private PlacementDecision place(PlacementRequest request, UpstreamLoad best, long nowMs) {
    double processingMs = responseTimeEstimator.processingMs(request);
    double expectedMs = upstreams.responseMs(best, request, nowMs);
    return openPlacements.place(request, best, processingMs, expectedMs, nowMs);
  }

  private double expectedWaitMs(PlacementRequest request) {
    return (queue.size() + 1) * upstreams.serviceIntervalMs(request);
  }
}
