package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * A scheduler's view of one upstream: held slots, slowdown, fault rate and refusal rate.
 *
 * <p>The slowdown is the factor by which processing is slower than on an undisturbed upstream. The
 * weight of a reported slowdown decays with its age in favour of the mean over all upstreams,
 * because other workloads on the same machine start and stop. An overdue request on a held slot
 * also indicates a slowdown.
 *
 * <p>Everything in it belongs to the registered start of the upstream. Confined to one thread.
 */
final class UpstreamLoad {
  private static final double SLOWDOWN_DECAY_MS = 400;
  private static final long MAX_REPORTED_AGE_MS = 1_000_000;
  private static final double GOOD_SLOWDOWN_LIMIT = 1.5;
  private static final double FAULT_RATE_SMOOTHING = 0.35;
  private static final double BACKOFF_FAULT_RATE = 0.5;
  private static final double REFUSAL_RATE_SMOOTHING = 0.2;
  private static final double BACKOFF_REFUSAL_RATE = 0.8;
  private static final long REFUSAL_BACKOFF_MS = 200;
  private static final long INITIAL_BACKOFF_MS = 400;
  private static final int MAX_BACKOFF_DOUBLINGS = 3;
  private static final double OVERDUE_RATIO = 2.0;
  private static final long CONNECTION_REUSE_MS = 5_000;

  private final Map<PlacementKey, HeldSlot> heldSlots = new HashMap<>();
  private final Map<Integer, Long> lastResponseByHost = new HashMap<>();
  private final Map<Integer, Long> heldOffUntilByHost = new HashMap<>();
  private final WarmupRateLimiter warmupRateLimiter = new WarmupRateLimiter();
  private LimitState limit = new LimitState();
  private UpstreamRegistration registration;
  private long coldUntilMs;
  private double reportedSlowdown = 1;
  private long slowdownReportedAtMs = Long.MIN_VALUE / 2;
  private int otherSlots;
  private long otherSlotsReportedAtMs = Long.MIN_VALUE / 2;
  private long lastProbeSentAtMs = Long.MIN_VALUE / 2;
  private boolean leaving;
  private double faultRate;
  private double refusalRate;
  private int consecutiveBackoffs;
  private long backoffUntilMs = Long.MIN_VALUE / 2;

  UpstreamLoad(UpstreamRegistration registration, long nowMs) {
    this.registration = registration;
    this.coldUntilMs = nowMs + registration.warmupRemainingMs();
  }

  UpstreamRegistration registration() {
    return registration;
  }

  void updateRegistration(UpstreamRegistration next, long nowMs) {
    if (!next.isSameIncarnation(registration)) {
      heldSlots.clear();
      lastResponseByHost.clear();
      heldOffUntilByHost.clear();
      limit = new LimitState();
      leaving = false;
      faultRate = 0;
      refusalRate = 0;
      consecutiveBackoffs = 0;
      backoffUntilMs = nowMs;
    }
    registration = next;
    coldUntilMs = Math.max(coldUntilMs, nowMs + next.warmupRemainingMs());
  }

  boolean isCold(long nowMs) {
    return nowMs < coldUntilMs;
  }

  boolean warmupRateAllows(int limit, long nowMs) {
    return warmupRateLimiter.allows(limit, nowMs);
  }

  boolean hasFreeSlot(long nowMs) {
    return occupiedSlots(nowMs) < registration.slots();
  }

  /**
   * Returns the number of occupied slots: those held by this scheduler, and those that a recent
   * report of the upstream shows in addition.
   */
  int occupiedSlots(long nowMs) {
    boolean recentlyReported = nowMs - otherSlotsReportedAtMs < SLOWDOWN_DECAY_MS / 2;
    return heldSlots.size() + (recentlyReported ? otherSlots : 0);
  }

  /** Records what the upstream has said about itself to a host. */
  void recordNotice(int hostHash, UpstreamNotice notice, long nowMs) {
    leaving |= notice.leaving();
    if (notice.holdOffMs() > 0) {
      heldOffUntilByHost.merge(hostHash, nowMs + notice.holdOffMs(), Math::max);
    }
    notice.limit().ifPresent(said -> limit.record(said, nowMs));
  }

  /** Returns the limit of the registered start, and the count of the requests placed on it. */
  LimitState limit() {
    return limit;
  }

  /** Checks whether the upstream has said that it leaves, to any host. */
  boolean isLeaving() {
    return leaving;
  }

  /** Returns how long the upstream still wants no requests from a host, 0 if it takes them. */
  long heldOffMs(int hostHash, long nowMs) {
    return Math.max(0, heldOffUntilByHost.getOrDefault(hostHash, nowMs) - nowMs);
  }

  boolean isBackingOff(long nowMs) {
    return nowMs < backoffUntilMs;
  }

  /**
   * Checks whether the upstream gets only one request at a time, which after a backoff shows
   * whether it has recovered.
   */
  boolean isOnTrial() {
    return faultRate >= BACKOFF_FAULT_RATE;
  }

  boolean isIdle() {
    return heldSlots.isEmpty();
  }

  void holdSlot(PlacementKey key, double expectedProcessingMs, long nowMs) {
    heldSlots.put(key, new HeldSlot(nowMs, expectedProcessingMs));
    lastResponseByHost
        .values()
        .removeIf(respondedAtMs -> nowMs - respondedAtMs >= CONNECTION_REUSE_MS);
    warmupRateLimiter.recordRequest(nowMs);
  }

  void releaseSlot(PlacementKey key) {
    heldSlots.remove(key);
  }

  /** Releases the slot of an attempt and updates the load and fault rate from its outcome. */
  void recordAttempt(AttemptReport report, long nowMs) {
    heldSlots.remove(report.key());
    if (report.outcome() == AttemptOutcome.ANSWERED) {
      lastResponseByHost.put(report.key().hostHash(), nowMs);
    }
    report.load().ifPresent(reported -> recordReportedLoad(reported, nowMs));
    if (report.outcome() == AttemptOutcome.REFUSED) {
      recordRefusal(nowMs);
    } else if (report.outcome().upstreamFault()) {
      recordFault(nowMs);
    } else if (report.outcome() == AttemptOutcome.ANSWERED) {
      faultRate *= 1 - FAULT_RATE_SMOOTHING;
      refusalRate *= 1 - REFUSAL_RATE_SMOOTHING;
      consecutiveBackoffs = faultRate < BACKOFF_FAULT_RATE ? 0 : consecutiveBackoffs;
    }
  }

  /** Checks whether a host is likely to have a connection to the upstream that it can reuse. */
  boolean hasReusableConnection(int hostHash, long nowMs) {
    Long respondedAtMs = lastResponseByHost.get(hostHash);
    return respondedAtMs != null && nowMs - respondedAtMs < CONNECTION_REUSE_MS;
  }

  /** Updates the load from a probe response. */
  void recordProbeResponse(ReportedLoad reported, long nowMs) {
    recordReportedLoad(reported, nowMs);
  }

  void recordProbeSent(long nowMs) {
    lastProbeSentAtMs = nowMs;
  }

  long probeAgeMs(long nowMs) {
    return nowMs - lastProbeSentAtMs;
  }

  /** Checks whether a recent report shows little or no slowdown. */
  boolean isKnownGood(long maxAgeMs, long nowMs) {
    return slowdownAgeMs(nowMs) < maxAgeMs && reportedSlowdown < GOOD_SLOWDOWN_LIMIT;
  }

  private void recordReportedLoad(ReportedLoad reported, long nowMs) {
    reportedSlowdown = Math.max(0.1, reported.slowdown());
    slowdownReportedAtMs = nowMs;
    otherSlots = Math.max(0, reported.running() + reported.waiting() - heldSlots.size());
    otherSlotsReportedAtMs = nowMs;
  }

  /**
   * Records that the upstream did not run a request. An upstream that sheds a part of its requests
   * stays in use, because a refused request can be sent to another one at once.
   */
  private void recordRefusal(long nowMs) {
    refusalRate += (1 - refusalRate) * REFUSAL_RATE_SMOOTHING;
    if (refusalRate >= BACKOFF_REFUSAL_RATE) {
      backoffUntilMs = Math.max(backoffUntilMs, nowMs + REFUSAL_BACKOFF_MS);
    }
  }

  private void recordFault(long nowMs) {
    faultRate += (1 - faultRate) * FAULT_RATE_SMOOTHING;
    if (faultRate >= BACKOFF_FAULT_RATE) {
      backoffUntilMs =
          nowMs + (INITIAL_BACKOFF_MS << Math.min(consecutiveBackoffs, MAX_BACKOFF_DOUBLINGS));
      consecutiveBackoffs++;
    }
  }

  double faultRate() {
    return faultRate;
  }

  double refusalRate() {
    return refusalRate;
  }

  /** Returns the age of the last reported slowdown, capped; the cap if there is no report yet. */
  long slowdownAgeMs(long nowMs) {
    return Math.min(nowMs - slowdownReportedAtMs, MAX_REPORTED_AGE_MS);
  }

  /** Returns the slowdown expected now. */
  double expectedSlowdown(double meanSlowdown, long nowMs) {
    double weight = Math.exp(-Math.max(0, nowMs - slowdownReportedAtMs) / SLOWDOWN_DECAY_MS);
    return Math.max(
        reportedSlowdown * weight + meanSlowdown * (1 - weight), overdueSlowdown(nowMs));
  }

  private double overdueSlowdown(long nowMs) {
    double worst = 0;
    for (HeldSlot slot : heldSlots.values()) {
      double ratio = (nowMs - slot.heldSinceMs) / Math.max(1, slot.expectedProcessingMs);
      worst = Math.max(worst, ratio);
    }
    return worst >= OVERDUE_RATIO ? worst : 0;
  }

  /** Describes the upstream's load for a log line. */
  String describe(double meanSlowdown, long nowMs) {
    return occupiedSlots(nowMs)
        + "/"
        + registration.slots()
        + ",pace="
        + Math.round(expectedSlowdown(meanSlowdown, nowMs) * ReportedLoad.NORMAL_SLOWDOWN_PERCENT)
        + ",age_ms="
        + slowdownAgeMs(nowMs)
        + ",faults="
        + Math.round(faultRate * ReportedLoad.NORMAL_SLOWDOWN_PERCENT)
        + limit.describe(nowMs);
  }

  /** Releases slots that have been held so long that no report is expected any more. */
  void releaseSlotsHeldBefore(long cutoffMs) {
    heldSlots.values().removeIf(slot -> slot.heldSinceMs < cutoffMs);
  }

  private record HeldSlot(long heldSinceMs, double expectedProcessingMs) {}
}
