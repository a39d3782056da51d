package dev.cactusstack.decisions.quotas;

import dev.cactusstack.decisions.limits.LeakyBucket;
import dev.cactusstack.decisions.limits.TokenBucket;
import dev.cactusstack.decisions.placing.PlacementKey;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants the permits of one workspace, as many as this host's share of the quota allows.
 *
 * <p>Invariants: a key gets one answer and takes at most one permit, however often it is received.
 * A permit is returned at most once, and only within {@value #MAX_RETURN_MS} ms, so that permits
 * can't be saved up. Over any period, the permits granted and not returned are at most the largest
 * burst plus the rate times the period, which is longer by {@value #MAX_RETURN_MS} ms if permits
 * are returned; that holds however often the quota changes in the period. At most {@value
 * #MAX_KEYS} keys are remembered, each for {@value #MEMORY_MS} ms. Confined to one thread.
 */
public final class QuotaBucket {
  /** Longest time after which a permit can be returned. */
  static final long MAX_RETURN_MS = 500;

  /** Longer than a request for a permit is repeated or a datagram is delayed. */
  static final long MEMORY_MS = 1_000;

  static final int MAX_KEYS = 2_000;

  /**
   * Longest promise, the window of the quota; later ones begin again with the next permit. Callers
   * honour at most a part of their remaining time.
   */
  static final long MAX_RETRY_AFTER_MS = 5_000;

  /** Longest promise without the whole share, which changes within seconds. */
  static final long MAX_RETRY_AFTER_PARTIAL_MS = 1_000;

  private static final double PERMIT = 1;
  private static final double RESTART_RATE_S = 0.5;
  private static final double RESTART_PERMITS = 10;
  private static final double WHOLE_SHARE = 1;
  private static final double MS_PER_SECOND = 1_000;

  private final TokenBucket bucket;

  /** Permits that were granted, or may have been by other hosts, and have not accrued again. */
  private final LeakyBucket used;

  private final Map<PlacementKey, Answer> answers = new LinkedHashMap<>();
  private double quotaRate;
  private double quotaBurst;
  private double share;
  private double permitsPerSecond;
  private double lastPromisedAtMs = Double.NEGATIVE_INFINITY;

  private QuotaBucket(
      double requestsPerSecond, double burst, double share, double permits, long sinceMs) {
    this.bucket = TokenBucket.empty(sinceMs);
    this.used = new LeakyBucket(capacity(burst, share) - permits, sinceMs);
    setRate(requestsPerSecond, burst, share, sinceMs);
    bucket.putBack(permits, sinceMs);
  }

  /**
   * Creates a bucket of a host that has become the first or second: earlier use is unknown, so
   * there is one permit and what has accrued since.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @param share this host's share, from 0 to 1
   * @param sinceMs the time at which this host got its rank, on a monotonic clock, in milliseconds
   * @return the bucket
   */
  public static QuotaBucket takenOver(
      double requestsPerSecond, double burst, double share, long sinceMs) {
    return new QuotaBucket(requestsPerSecond, burst, share, PERMIT, sinceMs);
  }

  /**
   * Creates a bucket without permits, of one of many hosts that may have a share at once.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @param share this host's share, from 0 to 1
   * @param sinceMs the time from which permits accrue, on a monotonic clock, in milliseconds
   * @return the bucket
   */
  public static QuotaBucket empty(
      double requestsPerSecond, double burst, double share, long sinceMs) {
    return new QuotaBucket(requestsPerSecond, burst, share, 0, sinceMs);
  }

  /**
   * Creates a bucket of a host that started after all hosts were lost. As no host granted anything
   * meanwhile, the callers that come back at once get what half a second of the rate and {@value
   * #RESTART_PERMITS} permits allow, within the burst: the bound on all permits has room for that.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @param share this host's share, from 0 to 1
   * @param sinceMs the time from which permits accrue, on a monotonic clock, in milliseconds
   * @return the bucket
   */
  public static QuotaBucket restarted(
      double requestsPerSecond, double burst, double share, long sinceMs) {
    double allowed = RESTART_RATE_S * requestsPerSecond + RESTART_PERMITS;
    return new QuotaBucket(
        requestsPerSecond, burst, share, share * Math.min(burst, allowed), sinceMs);
  }

  /**
   * Creates a full bucket, of a host that knows all earlier use.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @param share this host's share, from 0 to 1
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the bucket
   */
  public static QuotaBucket full(double requestsPerSecond, double burst, double share, long nowMs) {
    return new QuotaBucket(requestsPerSecond, burst, share, capacity(burst, share), nowMs);
  }

  /**
   * Sets the quota and this host's share of it. A lower burst or share cuts the level. A higher
   * burst raises it by the difference, but not above what a bucket that always had the higher burst
   * would hold now: permits that were granted are not granted again. A higher rate or share raises
   * it only with time.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @param newShare this host's share, from 0 to 1
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void update(double requestsPerSecond, double burst, double newShare, long nowMs) {
    double raisedBy = capacity(burst, newShare) - capacity(quotaBurst, newShare);
    if (requestsPerSecond * newShare != permitsPerSecond) {
      lastPromisedAtMs = Double.NEGATIVE_INFINITY;
    }
    setRate(requestsPerSecond, burst, newShare, nowMs);
    double unused = capacity(burst, newShare) - used.level(nowMs);
    double missing = unused - bucket.available(nowMs);
    bucket.putBack(Math.max(0, Math.min(raisedBy, missing)), nowMs);
  }

  private void setRate(double requestsPerSecond, double burst, double newShare, long nowMs) {
    quotaRate = requestsPerSecond;
    quotaBurst = burst;
    share = newShare;
    permitsPerSecond = requestsPerSecond * newShare;
    bucket.setRate(permitsPerSecond, capacity(burst, newShare), nowMs);
    used.setRate(permitsPerSecond, nowMs);
  }

  /** A bucket that can't hold a whole permit would never grant one. */
  private static double capacity(double burst, double share) {
    return share > 0 ? Math.max(PERMIT, burst * share) : 0;
  }

  /**
   * Decides on a request.
   *
   * @param key the key of the request
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the decision; that of the first call if the key was lately received before
   */
  public QuotaDecision request(PlacementKey key, long nowMs) {
    forgetOld(nowMs);
    Answer known = answers.get(key);
    if (known != null) {
      return known.decision.isGranted()
          ? known.decision
          : QuotaDecision.refused(
              Math.max(0, known.decision.retryAfterMs() - (nowMs - known.atMs)));
    }
    QuotaDecision decision = decide(nowMs);
    answers.put(key, new Answer(decision, nowMs, !decision.isGranted()));
    return decision;
  }

  private QuotaDecision decide(long nowMs) {
    if (!bucket.tryAcquire(PERMIT, nowMs)) {
      return QuotaDecision.refused(promiseNextPermit(nowMs));
    }
    used.add(PERMIT, nowMs);
    return QuotaDecision.GRANTED;
  }

  /** Returns the time until the next permit that is not promised to another caller. */
  private long promiseNextPermit(long nowMs) {
    long maxMs = share < WHOLE_SHARE ? MAX_RETRY_AFTER_PARTIAL_MS : MAX_RETRY_AFTER_MS;
    if (permitsPerSecond == 0) {
      return maxMs;
    }
    double intervalMs = MS_PER_SECOND / permitsPerSecond;
    double nextPermitAtMs = nowMs + (PERMIT - bucket.available(nowMs)) * intervalMs;
    double promisedAtMs = Math.max(nextPermitAtMs, lastPromisedAtMs + intervalMs);
    if (promisedAtMs > nowMs + maxMs) {
      promisedAtMs = nextPermitAtMs;
    }
    lastPromisedAtMs = promisedAtMs;
    return (long) Math.min(maxMs, Math.ceil(promisedAtMs - nowMs));
  }

  /**
   * Returns the permit of a request that did not run. A request that is returned before it arrives,
   * because datagrams overtake each other, gets no permit.
   *
   * @param key the key of the request
   * @param nowMs the current time on the same clock, in milliseconds
   * @return true if the permit can be granted again
   */
  public boolean giveBack(PlacementKey key, long nowMs) {
    forgetOld(nowMs);
    Answer known = answers.get(key);
    if (known == null) {
      answers.put(key, new Answer(QuotaDecision.refused(0), nowMs, true));
      return false;
    }
    if (known.settled) {
      return false;
    }
    answers.replace(key, new Answer(known.decision, known.atMs, true));
    if (nowMs - known.atMs > MAX_RETURN_MS) {
      return false;
    }
    bucket.putBack(PERMIT, nowMs);
    used.add(-PERMIT, nowMs);
    return true;
  }

  /**
   * Forgets the keys that can't be received again.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   */
  public void forgetOld(long nowMs) {
    Iterator<Answer> oldestFirst = answers.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean old = nowMs - oldestFirst.next().atMs > MEMORY_MS;
      if (!old && answers.size() < MAX_KEYS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /**
   * Checks whether a key was lately received.
   *
   * @param key the key of a request
   * @return true if its answer is remembered
   */
  public boolean remembers(PlacementKey key) {
    return answers.containsKey(key);
  }

  /**
   * Returns how many keys are remembered.
   *
   * @return the number, at most {@value #MAX_KEYS}
   */
  public int rememberedKeys() {
    return answers.size();
  }

  /**
   * Checks whether the bucket was last set to a quota.
   *
   * @param requestsPerSecond the quota of the workspace over all hosts
   * @param burst the burst of the workspace over all hosts
   * @return false if the rate or the burst differs
   */
  public boolean isSetTo(double requestsPerSecond, double burst) {
    return quotaRate == requestsPerSecond && quotaBurst == burst;
  }

  /**
   * Returns this host's share.
   *
   * @return the share, from 0 to 1
   */
  public double share() {
    return share;
  }

  /**
   * Checks whether permits were granted that have not accrued again.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return false if a full bucket would grant no more than this one
   */
  public boolean isUsed(long nowMs) {
    return used.level(nowMs) > 0;
  }

  /**
   * Returns how many permits can be granted at once.
   *
   * @param nowMs the current time on the same clock, in milliseconds
   * @return the number of permits, with fractions
   */
  public double available(long nowMs) {
    return bucket.available(nowMs);
  }

  /**
   * An answer that was given.
   *
   * @param settled whether nothing can be returned any more
   */
  private record Answer(QuotaDecision decision, long atMs, boolean settled) {}
}
