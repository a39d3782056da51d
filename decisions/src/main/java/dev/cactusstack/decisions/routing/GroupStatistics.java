package dev.cactusstack.decisions.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * What a group of upstreams can be expected to do now.
 *
 * <p>An upstream is slow when its cost by past answers (time and failures), or the age of its
 * oldest request, is a multiple of the usual cost of the group; the others are quick. Immutable and
 * thread-safe.
 *
 * @param typicalCostMs the cost of the quicker upstreams, in milliseconds
 * @param fastCapacity requests that the quick upstreams may have in flight
 * @param fastFreeCapacity how many of these places are free
 */
public record GroupStatistics(double typicalCostMs, int fastCapacity, int fastFreeCapacity) {
  /** An upstream is slow when it takes this many times the usual answer time of its group. */
  static final double SLOW_RATIO = 2.5;

  /**
   * Computes the outlook.
   *
   * @param views the upstreams
   * @return the outlook
   */
  public static GroupStatistics of(List<UpstreamSnapshot> views) {
    Objects.requireNonNull(views, "views is null");
    double usual = typicalCostMs(views);
    int places = 0;
    int free = 0;
    for (UpstreamSnapshot v : views) {
      if (!isSlow(v, usual)) {
        places += v.limit();
        free += Math.max(0, v.limit() - v.inFlight());
      }
    }
    return new GroupStatistics(usual, places, free);
  }

  /** The lower-third cost of the upstreams that take requests. */
  private static double typicalCostMs(List<UpstreamSnapshot> views) {
    double[] times = new double[views.size()];
    int n = 0;
    for (UpstreamSnapshot v : views) {
      if (v.limit() > 0) {
        times[n++] = v.costMs();
      }
    }
    Arrays.sort(times, 0, n);
    return n == 0 ? 1 : times[(n - 1) / 3];
  }

  /** Whether past answers, or the age of the oldest request, show an upstream as slow. */
  static boolean isSlow(UpstreamSnapshot v, double usual) {
    return Math.max(v.costMs(), v.oldestRequestAgeMs()) > SLOW_RATIO * usual;
  }

  /**
   * Estimates how long the last of some waiting requests waits for a quick place.
   *
   * @param waiting how many requests wait
   * @return the time in milliseconds, infinite when there is no quick upstream
   */
  public double estimatedWaitMs(int waiting) {
    if (waiting <= fastFreeCapacity) {
      return 0;
    }
    return fastCapacity == 0 ? Double.POSITIVE_INFINITY : typicalCostMs * waiting / fastCapacity;
  }
}
