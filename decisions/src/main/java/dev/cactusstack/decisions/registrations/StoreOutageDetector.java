package dev.cactusstack.decisions.registrations;

/**
 * Decides whether registrations that are missing may have expired because upstreams could not reach
 * the store either.
 *
 * <p>A registration expires when its upstream has not renewed it for several intervals. So a short
 * series of failed calls, as after a connection went silent, expires none, and neither does a
 * failure of this host's own path, which shows when other hosts read the store meanwhile. If no
 * other host is heard of, both cases look alike; the registrations are then used only for a time
 * that is counted from the last failed call. Confined to one thread.
 */
public final class StoreOutageDetector {
  /** Duration of a series of failed calls below which no upstream can have missed its renewals. */
  public static final long MIN_FAILING_MS = 2_300;

  /** Age that reports of other hosts' reads never reach; later ones tell of reads in between. */
  public static final long REPORT_DELAY_MS = 3_000;

  /** Longest use of a missing registration after the last call that failed was sent. */
  public static final long MAX_USE_AFTER_FAILURE_MS = 2_600;

  /** Longest time between two failed calls of a series; a longer one may hide successful calls. */
  private static final long MAX_GAP_MS = 2_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long renewalTimeMs;
  private boolean failing;
  private boolean readByOthers;
  private long firstFailedAtMs = NEVER;
  private long lastFailedAtMs = NEVER;
  private long lastReadAtMs = NEVER;
  private long outageBeganAtMs = NEVER;
  private long renewedAtMs = NEVER;

  /**
   * Creates a detector that has seen no call.
   *
   * @param renewalTimeMs time after an outage within which upstreams renew their registrations, in
   *     milliseconds
   */
  public StoreOutageDetector(long renewalTimeMs) {
    this.renewalTimeMs = renewalTimeMs;
  }

  /**
   * Records that a read of the store failed.
   *
   * @param sentAtMs when the read was sent, on a monotonic clock, in milliseconds
   * @param othersRead whether another host reported at that time that it had lately read the store
   */
  public void recordFailure(long sentAtMs, boolean othersRead) {
    if (!failing || sentAtMs - lastFailedAtMs > MAX_GAP_MS) {
      failing = true;
      readByOthers = false;
      firstFailedAtMs = sentAtMs;
    }
    lastFailedAtMs = sentAtMs;
    readByOthers |= othersRead && sentAtMs - firstFailedAtMs >= REPORT_DELAY_MS;
  }

  /**
   * Records a successful read of the store.
   *
   * @param sentAtMs when the read was sent, on the same clock
   * @param nowMs the current time on the same clock
   */
  public void recordRead(long sentAtMs, long nowMs) {
    if (failing && !readByOthers && nowMs - firstFailedAtMs >= MIN_FAILING_MS) {
      renewedAtMs = Math.min(nowMs + renewalTimeMs, lastFailedAtMs + MAX_USE_AFTER_FAILURE_MS);
      outageBeganAtMs = lastReadAtMs;
    }
    failing = false;
    lastReadAtMs = sentAtMs;
  }

  /**
   * Records that the store was restored to an older state, in which registrations since then are
   * missing. As long as the last read before the restore may be used, they are.
   */
  public void recordRestore() {
    renewedAtMs = Math.max(renewedAtMs, lastReadAtMs + RegistrationAge.MAX_FOR_PLACEMENT_MS);
    outageBeganAtMs = lastReadAtMs;
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

  /**
   * Returns when the store was last read before the last outage.
   *
   * @return a time on the same clock, in the distant past if there was no outage
   */
  public long outageBeganAtMs() {
    return outageBeganAtMs;
  }
}
