package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * What a scheduler knows of one upstream: slots held, pace, faults.
 *
 * <p>Pace is how much longer work takes than usual. A report of it loses weight with age, in favour
 * of the mean over all upstreams, because neighbours on the machine come and go. A held slot whose
 * request is overdue is evidence too.
 *
 * <p>Confined to one thread.
 */
final class UpstreamLoad {
  private static final double PACE_MEMORY_MS = 400;
  private static final long MOST_AGE_MS = 1_000_000;
  private static final double GOOD_PACE = 1.5;
  private static final double FAULT_STEP = 0.35;
  private static final double FAULT_LIMIT = 0.5;
  private static final long REST_MS = 400;
  private static final int MAX_REST_DOUBLINGS = 3;
  private static final double OVERDUE_RATIO = 2.0;
  private static final long CONNECTION_KEPT_MS = 5_000;

  private final Map<PlacementKey, Hold> holds = new HashMap<>();
  private final Map<Integer, Long> usedBy = new HashMap<>();
  private final ColdBound coldBound = new ColdBound();
  private UpstreamRegistration entry;
  private long coldUntilMs;
  private double pace = 1;
  private long paceAtMs = Long.MIN_VALUE / 2;
  private int foreign;
  private long foreignAtMs = Long.MIN_VALUE / 2;
  private long probedAtMs = Long.MIN_VALUE / 2;
  private double faults;
  private int rests;
  private long restUntilMs = Long.MIN_VALUE / 2;

  UpstreamLoad(UpstreamRegistration entry, long nowMs) {
    this.entry = entry;
    this.coldUntilMs = nowMs + entry.warmupRemainingMs();
  }

  UpstreamRegistration entry() {
    return entry;
  }

  void announce(UpstreamRegistration e, long nowMs) {
    if (!e.isSameIncarnation(entry)) {
      holds.clear();
      usedBy.clear();
      faults = 0;
      rests = 0;
      restUntilMs = nowMs;
    }
    entry = e;
    coldUntilMs = Math.max(coldUntilMs, nowMs + e.warmupRemainingMs());
  }

  boolean cold(long nowMs) {
    return nowMs < coldUntilMs;
  }

  boolean coldAllows(int bound, long nowMs) {
    return coldBound.allows(bound, nowMs);
  }

  boolean free(long nowMs) {
    return occupied(nowMs) < entry.slots();
  }

  /** Slots taken: those held here, or more if the upstream has just said so. */
  int occupied(long nowMs) {
    boolean told = nowMs - foreignAtMs < PACE_MEMORY_MS / 2;
    return holds.size() + (told ? foreign : 0);
  }

  boolean resting(long nowMs) {
    return nowMs < restUntilMs;
  }

  /** After a rest one request at a time shows whether the upstream has recovered. */
  boolean onTrial() {
    return faults >= FAULT_LIMIT;
  }

  boolean idle() {
    return holds.isEmpty();
  }

  void hold(PlacementKey key, double expectedMs, long nowMs) {
    holds.put(key, new Hold(nowMs, expectedMs));
    usedBy.values().removeIf(at -> nowMs - at >= CONNECTION_KEPT_MS);
    coldBound.count(nowMs);
  }

  void release(PlacementKey key) {
    holds.remove(key);
  }

  /** Takes a report in. */
  void ended(AttemptReport r, long nowMs) {
    holds.remove(r.key());
    if (r.outcome() == AttemptOutcome.ANSWERED) {
      usedBy.put(r.key().hostHash(), nowMs);
    }
    r.load().ifPresent(l -> told(l, nowMs));
    if (r.outcome().upstreamFault()) {
      fault(nowMs);
    } else if (r.outcome() == AttemptOutcome.ANSWERED) {
      faults *= 1 - FAULT_STEP;
      rests = faults < FAULT_LIMIT ? 0 : rests;
    }
  }

  /** Tells whether a host is likely to have a connection that it can use again. */
  boolean connected(int host, long nowMs) {
    Long at = usedBy.get(host);
    return at != null && nowMs - at < CONNECTION_KEPT_MS;
  }

  /** Takes in what the upstream answered to a probe. */
  void probed(ReportedLoad l, long nowMs) {
    told(l, nowMs);
  }

  void probeSent(long nowMs) {
    probedAtMs = nowMs;
  }

  long sinceProbeMs(long nowMs) {
    return nowMs - probedAtMs;
  }

  /** Tells whether work on the upstream is known to take about as long as usual. */
  boolean knownGood(long freshMs, long nowMs) {
    return paceAgeMs(nowMs) < freshMs && pace < GOOD_PACE;
  }

  private void told(ReportedLoad l, long nowMs) {
    pace = Math.max(0.1, l.slowdown());
    paceAtMs = nowMs;
    foreign = Math.max(0, l.running() + l.waiting() - holds.size());
    foreignAtMs = nowMs;
  }

  private void fault(long nowMs) {
    faults += (1 - faults) * FAULT_STEP;
    if (faults >= FAULT_LIMIT) {
      restUntilMs = nowMs + (REST_MS << Math.min(rests, MAX_REST_DOUBLINGS));
      rests++;
    }
  }

  double faults() {
    return faults;
  }

  /** How old the last report of the pace is; about forever before the first. */
  long paceAgeMs(long nowMs) {
    return Math.min(nowMs - paceAtMs, MOST_AGE_MS);
  }

  /** How much longer than usual work is expected to take now. */
  double expectedPace(double meanPace, long nowMs) {
    double weight = Math.exp(-Math.max(0, nowMs - paceAtMs) / PACE_MEMORY_MS);
    return Math.max(pace * weight + meanPace * (1 - weight), overdue(nowMs));
  }

  private double overdue(long nowMs) {
    double worst = 0;
    for (Hold h : holds.values()) {
      double ratio = (nowMs - h.sinceMs) / Math.max(1, h.expectedMs);
      worst = Math.max(worst, ratio);
    }
    return worst >= OVERDUE_RATIO ? worst : 0;
  }

  /** Says for a log line what is known. */
  String describe(double meanPace, long nowMs) {
    return occupied(nowMs)
        + "/"
        + entry.slots()
        + ",pace="
        + Math.round(expectedPace(meanPace, nowMs) * ReportedLoad.NORMAL_SLOWDOWN_PERCENT)
        + ",age_ms="
        + paceAgeMs(nowMs)
        + ",faults="
        + Math.round(faults * ReportedLoad.NORMAL_SLOWDOWN_PERCENT);
  }

  /** Frees slots whose report is not going to come. */
  void dropHoldsBefore(long sinceMs) {
    holds.values().removeIf(h -> h.sinceMs < sinceMs);
  }

  private record Hold(long sinceMs, double expectedMs) {}
}
