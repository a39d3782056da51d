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
 * @param usualMs the cost of the quicker upstreams, in milliseconds
 * @param quickPlaces requests that the quick upstreams may have in flight
 * @param quickFree how many of these places are free
 */
public record GroupOutlook(double usualMs, int quickPlaces, int quickFree) {
  /** An upstream is slow when it takes this many times the usual answer time of its group. */
  static final double SLOW_RATIO = 2.5;

  /**
   * Computes the outlook.
   *
   * @param views the upstreams
   * @return the outlook
   */
  public static GroupOutlook of(List<UpstreamView> views) {
    Objects.requireNonNull(views, "views is null");
    double usual = usualMs(views);
    int places = 0;
    int free = 0;
    for (UpstreamView v : views) {
      if (!isSlow(v, usual)) {
        places += v.limit();
        free += Math.max(0, v.limit() - v.inFlight());
      }
    }
    return new GroupOutlook(usual, places, free);
  }

  /** The lower-third cost of the upstreams that take requests. */
  private static double usualMs(List<UpstreamView> views) {
    double[] times = new double[views.size()];
    int n = 0;
    for (UpstreamView v : views) {
      if (v.limit() > 0) {
        times[n++] = v.costMs();
      }
    }
    Arrays.sort(times, 0, n);
    return n == 0 ? 1 : times[(n - 1) / 3];
  }

  /** Whether past answers, or the age of the oldest request, show an upstream as slow. */
  static boolean isSlow(UpstreamView v, double usual) {
    return Math.max(v.costMs(), v.oldestMs()) > SLOW_RATIO * usual;
  }

  /**
   * Estimates how long the last of some waiting requests waits for a quick place.
   *
   * @param waiting how many requests wait
   * @return the time in milliseconds, infinite when there is no quick upstream
   */
  public double waitMs(int waiting) {
    if (waiting <= quickFree) {
      return 0;
    }
    return quickPlaces == 0 ? Double.POSITIVE_INFINITY : usualMs * waiting / quickPlaces;
  }
}
