package dev.cactusstack.decisions.retries;

/**
 * Bounds how many requests this host sends once more to a service, over a sliding window.
 *
 * <p>Invariant: the repeats of a window are at most a ratio of the requests of the same window plus
 * this host's part of a fixed allowance; so the sum over all hosts keeps the bound of all hosts
 * without any message. Confined to one thread.
 */
public final class RetryWindow {
  private static final int BUCKETS = 20;

  private final long[] requests = new long[BUCKETS];
  private final long[] repeats = new long[BUCKETS];
  private final long bucketMs;
  private final double ratio;
  private long lastBucket;

  /**
   * Creates an empty window.
   *
   * @param windowMs the window's length, in milliseconds
   * @param ratio repeats allowed for each request
   */
  public RetryWindow(long windowMs, double ratio) {
    this.bucketMs = Math.max(1, windowMs / BUCKETS);
    this.ratio = ratio;
  }

  /**
   * Counts a request of a caller.
   *
   * @param nowMs the present time on a steady clock, in milliseconds
   */
  public void recordRequest(long nowMs) {
    requests[bucket(nowMs)]++;
  }

  /**
   * Counts a repeat, if one is allowed.
   *
   * @param allowance repeats that this host may send in a window whatever its requests
   * @param nowMs the present time on the same clock
   * @return false when no repeat is allowed; nothing is counted then
   */
  public boolean tryAcquireRetry(double allowance, long nowMs) {
    int b = bucket(nowMs);
    if (sum(repeats) + 1 > ratio * sum(requests) + allowance) {
      return false;
    }
    repeats[b]++;
    return true;
  }

  private int bucket(long nowMs) {
    long bucket = nowMs / bucketMs;
    for (long i = Math.max(lastBucket + 1, bucket - BUCKETS + 1); i <= bucket; i++) {
      requests[(int) Math.floorMod(i, (long) BUCKETS)] = 0;
      repeats[(int) Math.floorMod(i, (long) BUCKETS)] = 0;
    }
    lastBucket = Math.max(lastBucket, bucket);
    return (int) Math.floorMod(lastBucket, (long) BUCKETS);
  }

  private static long sum(long[] counts) {
    long n = 0;
    for (long c : counts) {
      n += c;
    }
    return n;
  }
}
