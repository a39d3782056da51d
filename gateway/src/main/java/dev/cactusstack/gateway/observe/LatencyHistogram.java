package dev.cactusstack.gateway.observe;

import java.util.List;

/** A histogram of durations. Confined to the event loop. */
public final class LatencyHistogram {
  /** Upper bounds of the buckets, in milliseconds; one more bucket counts longer durations. */
  static final List<Integer> BOUNDS_MS =
      List.of(1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 1_000, 2_000, 5_000);

  private final long[] counts = new long[BOUNDS_MS.size() + 1];
  private long sumMs;

  void observe(long durationMs) {
    int i = 0;
    while (i < BOUNDS_MS.size() && durationMs > BOUNDS_MS.get(i)) {
      i++;
    }
    counts[i]++;
    sumMs += durationMs;
  }

  long count(int bucket) {
    return counts[bucket];
  }

  long sumMs() {
    return sumMs;
  }
}
