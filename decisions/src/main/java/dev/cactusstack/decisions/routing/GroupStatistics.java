package dev.cactusstack.decisions.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The typical cost and the free capacity of a group of upstreams.
 *
 * <p>An upstream is slow if its cost by past responses (latency and failures), or the age of its
 * oldest request, is a multiple of the typical cost of the group; the others are fast. Immutable
 * and thread-safe.
 *
 * @param typicalCostMs the lower-third cost of the upstreams, in milliseconds
 * @param fastCapacity number of requests that the fast upstreams may have in flight
 * @param fastFreeCapacity number of further requests that the fast upstreams can take now
 */
public record GroupStatistics(double typicalCostMs, int fastCapacity, int fastFreeCapacity) {
  /** Multiple of the typical cost above which an upstream is slow. */
  static final double SLOW_RATIO = 2.5;

  /**
   * Computes the statistics of a group.
   *
   * @param upstreams the upstreams of the group
   * @return the statistics
   */
  public static GroupStatistics of(List<UpstreamSnapshot> upstreams) {
    Objects.requireNonNull(upstreams, "upstreams is null");
    double typicalMs = typicalCostMs(upstreams);
    int capacity = 0;
    int freeCapacity = 0;
    for (UpstreamSnapshot upstream : upstreams) {
      if (!isSlow(upstream, typicalMs)) {
        capacity += upstream.limit();
        freeCapacity += Math.max(0, upstream.limit() - upstream.inFlight());
      }
    }
    return new GroupStatistics(typicalMs, capacity, freeCapacity);
  }

  /** The lower-third cost of the upstreams that accept requests. */
  private static double typicalCostMs(List<UpstreamSnapshot> upstreams) {
    double[] costsMs = new double[upstreams.size()];
    int n = 0;
    for (UpstreamSnapshot upstream : upstreams) {
      if (upstream.limit() > 0) {
        costsMs[n++] = upstream.costMs();
      }
    }
    Arrays.sort(costsMs, 0, n);
    return n == 0 ? 1 : costsMs[(n - 1) / 3];
  }

  /** Checks whether past responses or the age of the oldest request show an upstream as slow. */
  static boolean isSlow(UpstreamSnapshot upstream, double typicalMs) {
    return Math.max(upstream.costMs(), upstream.oldestRequestAgeMs()) > SLOW_RATIO * typicalMs;
  }

  /**
   * Estimates how long the last of a number of waiting requests waits for a fast upstream.
   *
   * @param waiting number of waiting requests
   * @return the time in milliseconds, infinite if there is no fast upstream
   */
  public double estimatedWaitMs(int waiting) {
    if (waiting <= fastFreeCapacity) {
      return 0;
    }
    return fastCapacity == 0 ? Double.POSITIVE_INFINITY : typicalCostMs * waiting / fastCapacity;
  }
}
