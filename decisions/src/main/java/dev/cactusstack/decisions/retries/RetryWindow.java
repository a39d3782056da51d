package dev.cactusstack.decisions.retries;

/**
 * Limits the retries that this host sends to a service within a sliding window.
 *
 * <p>Invariant: the retries in a window are at most a ratio of the requests in the same window plus
 * this host's share of a fixed number of extra retries. The sum over all hosts therefore stays
 * within the limit for all hosts without any coordination. Confined to one thread.
 */
public final class RetryWindow {
  private static final int BUCKET_COUNT = 20;

  private final long[] requests = new long[BUCKET_COUNT];
  private final long[] retries = new long[BUCKET_COUNT];
  private final long bucketMs;
  private final double ratio;
  private long lastBucket;

  /**
   * Creates an empty window.
   *
   * @param windowMs the length of the window, in milliseconds
   * @param ratio the number of retries allowed per request
   */
  public RetryWindow(long windowMs, double ratio) {
    this.bucketMs = Math.max(1, windowMs / BUCKET_COUNT);
    this.ratio = ratio;
  }

  /**
   * Counts a caller's request.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   */
  public void recordRequest(long nowMs) {
    requests[advanceTo(nowMs)]++;
  }

  /**
   * Counts a retry if it is allowed.
   *
   * @param extraRetries the number of retries that this host may send per window regardless of its
   *     requests
   * @param nowMs the current time on the same clock
   * @return true if the retry is allowed; otherwise nothing is counted
   */
  public boolean tryAcquireRetry(double extraRetries, long nowMs) {
    int current = advanceTo(nowMs);
    if (sum(retries) + 1 > ratio * sum(requests) + extraRetries) {
      return false;
    }
    retries[current]++;
    return true;
  }

  private int advanceTo(long nowMs) {
    long bucketNumber = nowMs / bucketMs;
    for (long i = Math.max(lastBucket + 1, bucketNumber - BUCKET_COUNT + 1);
        i <= bucketNumber;
        i++) {
      requests[(int) Math.floorMod(i, (long) BUCKET_COUNT)] = 0;
      retries[(int) Math.floorMod(i, (long) BUCKET_COUNT)] = 0;
    }
    lastBucket = Math.max(lastBucket, bucketNumber);
    return (int) Math.floorMod(lastBucket, (long) BUCKET_COUNT);
  }

  private static long sum(long[] counts) {
    long total = 0;
    for (long count : counts) {
      total += count;
    }
    return total;
  }
}
