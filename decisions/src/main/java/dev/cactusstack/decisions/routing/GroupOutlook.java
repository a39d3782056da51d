package dev.cactusstack.decisions.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * What a group of upstreams can be expected to do now.
 *
 * <p>An upstream is slow when its estimated answer time, or the age of its oldest request, is a
 * multiple of the usual answer time of the group; the others are quick. Immutable and thread-safe.
 *
 * @param usualMs the answer time of the quicker upstreams, in milliseconds
 * @param quickPlaces requests that the quick upstreams may have in flight
 * @param quickFree how many of these places are free
 */
public record GroupOutlook(double usualMs, int quickPlaces, int quickFree) {
  /** An upstream is slow when it takes this many times the usual answer time of its group. */
  static final double SLOW_RATIO = 2.5;

  /** Differences below this are noise of the measurement, not of the upstreams. */
  private static final double MIN_LATENCY_MS = 1;

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

  /** The lower-third answer time of the upstreams that take requests. */
  private static double usualMs(List<UpstreamView> views) {
    double[] times = new double[views.size()];
    int n = 0;
    for (UpstreamView v : views) {
      if (v.limit() > 0) {
        times[n++] = estimateMs(v);
      }
    }
    Arrays.sort(times, 0, n);
    return n == 0 ? MIN_LATENCY_MS : times[(n - 1) / 3];
  }

  static double estimateMs(UpstreamView v) {
    return Math.max(MIN_LATENCY_MS, v.latencyMs());
  }

  private static boolean isSlow(UpstreamView v, double usual) {
    return Math.max(v.latencyMs(), v.oldestMs()) > SLOW_RATIO * usual;
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
