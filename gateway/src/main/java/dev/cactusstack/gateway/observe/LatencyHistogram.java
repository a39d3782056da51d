package dev.cactusstack.gateway.observe;

import java.util.List;

/** A histogram of times. Confined to the event loop. */
public final class LatencyHistogram {
  /** Upper bounds of the buckets, in milliseconds; a last bucket takes what is longer. */
  static final List<Integer> BOUNDS_MS =
      List.of(1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 1_000, 2_000, 5_000);

  private final long[] counts = new long[BOUNDS_MS.size() + 1];
  private long sumMs;

  void add(long ms) {
    int i = 0;
    while (i < BOUNDS_MS.size() && ms > BOUNDS_MS.get(i)) {
      i++;
    }
    counts[i]++;
    sumMs += ms;
  }

  long count(int bucket) {
    return counts[bucket];
  }

  long sumMs() {
    return sumMs;
  }
}
