package dev.cactusstack.decisions.placing;

import dev.cactusstack.decisions.limits.RequestLimit;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The requests that arrived at upstreams that limit them, and whether they were too many.
 *
 * <p>From 3 s after an upstream first named a limit of N a second, it may get 6 N + 5 requests in
 * any 4 s, summed over the hosts that it had told at least half a second before. While the limit
 * changes, the highest that the upstream named in the 4 s and half a second before counts.
 */
final class Arrivals {
  private static final long GRACE_MS = 3_000;
  private static final long WINDOW_MS = 4_000;
  private static final long TOLD_MS = 500;
  private static final long LIMIT_STEP_MS = 100;
  private static final double WINDOW_FACTOR = 6;
  private static final double EXTRA_REQUESTS = 5;

  private final List<LimitSimulation.Limit> limits;
  private final List<List<Arrival>> byUpstream = new ArrayList<>();
  private final Map<Told, Long> toldAtMs = new HashMap<>();

  Arrivals(List<LimitSimulation.Limit> limits) {
    this.limits = limits;
    limits.forEach(limit -> byUpstream.add(new ArrayList<>()));
  }

  private record Arrival(int host, long atMs) {}

  private record Told(int upstream, int host) {}

  void add(int upstream, int host, long nowMs) {
    byUpstream.get(upstream).add(new Arrival(host, nowMs));
  }

  void recordTold(int upstream, int host, long nowMs) {
    toldAtMs.putIfAbsent(new Told(upstream, host), nowMs);
  }

  /** Returns how many requests arrived at an upstream in a period, from all hosts. */
  long count(int upstream, long fromMs, long untilMs) {
    return byUpstream.get(upstream).stream()
        .filter(arrival -> arrival.atMs >= fromMs && arrival.atMs < untilMs)
        .count();
  }

  /**
   * Describes the windows in which more requests arrived from hosts that were told than allowed.
   */
  List<String> excesses() {
    return excesses(this::isFromToldHost);
  }

  /** The same for requests of all hosts. */
  List<String> excessesOfAllHosts() {
    return excesses((upstream, arrival) -> true);
  }

  private List<String> excesses(BiPredicate<Integer, Arrival> counts) {
    List<String> excesses = new ArrayList<>();
    for (int upstream = 0; upstream < limits.size(); upstream++) {
      long firstToldAtMs = firstToldAtMs(upstream);
      Deque<Long> window = new ArrayDeque<>();
      for (Arrival arrival : byUpstream.get(upstream)) {
        if (arrival.atMs < firstToldAtMs + GRACE_MS || !counts.test(upstream, arrival)) {
          continue;
        }
        window.addLast(arrival.atMs);
        while (window.peekFirst() <= arrival.atMs - WINDOW_MS) {
          window.removeFirst();
        }
        double allowed = WINDOW_FACTOR * highestLimit(upstream, arrival.atMs) + EXTRA_REQUESTS;
        if (window.size() > allowed) {
          excesses.add(
              "u%d at %d ms: %d requests, %.1f allowed"
                  .formatted(upstream, arrival.atMs, window.size(), allowed));
        }
      }
    }
    return excesses;
  }

  private long firstToldAtMs(int upstream) {
    return toldAtMs.entrySet().stream()
        .filter(told -> told.getKey().upstream == upstream)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(Long.MAX_VALUE - GRACE_MS);
  }

  private boolean isFromToldHost(int upstream, Arrival arrival) {
    Long told = toldAtMs.get(new Told(upstream, arrival.host));
    return told != null && told <= arrival.atMs - TOLD_MS;
  }

  private double highestLimit(int upstream, long endMs) {
    double highest = 0;
    long fromMs = endMs - WINDOW_MS - TOLD_MS;
    for (long atMs = endMs;
        atMs >= fromMs && highest != RequestLimit.UNLIMITED;
        atMs -= LIMIT_STEP_MS) {
      highest = Math.max(highest, limits.get(upstream).requestsPerSecond(atMs));
    }
    return highest;
  }
}
