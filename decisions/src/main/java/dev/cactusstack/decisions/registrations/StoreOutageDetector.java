package dev.cactusstack.decisions.registrations;

/**
 * Detects whether the store was unavailable to everyone, or only to this host, between two
 * successful reads.
 *
 * <p>Upstreams renew their registrations at a constant rate, and each renewal increases the store's
 * revision. If the revision advanced by about as much as usual while this host could not read, the
 * store was available to the upstreams, and a registration that is missing was removed on purpose.
 * If it hardly advanced, registrations may be missing because they could not be renewed. Confined
 * to one thread.
 */
public final class StoreOutageDetector {
  private static final double RATE_SMOOTHING = 0.2;
  private static final long MIN_RATE_INTERVAL_MS = 300;

  /** Minimum share of the usual progress that shows that the store was available. */
  private static final double AVAILABLE_PROGRESS_SHARE = 0.5;

  private final long renewalTimeMs;
  private long lastRevision = -1;
  private long lastReadAtMs;
  private double revisionsPerMs;
  private boolean failedSinceRead;
  private long renewedAtMs = Long.MIN_VALUE;

  /**
   * Creates a detector that has seen no read.
   *
   * @param renewalTimeMs time after an outage within which upstreams renew their registrations, in
   *     milliseconds
   */
  public StoreOutageDetector(long renewalTimeMs) {
    this.renewalTimeMs = renewalTimeMs;
  }

  /** Records that a read of the store failed. */
  public void recordFailure() {
    failedSinceRead = true;
  }

  /**
   * Records a successful read of the store.
   *
   * @param revision the store's revision at the read
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void recordRead(long revision, long nowMs) {
    if (!failedSinceRead) {
      updateRate(revision, nowMs);
    } else if (!hasAdvancedAsUsual(revision, nowMs)) {
      renewedAtMs = nowMs + renewalTimeMs;
    }
    failedSinceRead = false;
    lastRevision = revision;
    lastReadAtMs = nowMs;
  }

  /**
   * Returns when all upstreams that are alive have renewed their registrations after the last
   * outage.
   *
   * @return a time on the same clock, in the past if there was no recent outage
   */
  public long renewedAtMs() {
    return renewedAtMs;
  }

  private boolean hasAdvancedAsUsual(long revision, long nowMs) {
    double usual = revisionsPerMs * (nowMs - lastReadAtMs);
    return revision - lastRevision >= usual * AVAILABLE_PROGRESS_SHARE;
  }

  private void updateRate(long revision, long nowMs) {
    long elapsedMs = nowMs - lastReadAtMs;
    if (lastRevision < 0 || elapsedMs < MIN_RATE_INTERVAL_MS) {
      return;
    }
    double observed = (revision - lastRevision) / (double) elapsedMs;
    revisionsPerMs =
        revisionsPerMs == 0
            ? observed
            : revisionsPerMs + (observed - revisionsPerMs) * RATE_SMOOTHING;
  }
}
