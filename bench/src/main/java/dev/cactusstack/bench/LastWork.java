package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Finds out when upstreams got their last request. Stateless. */
final class LastWork {
  private static final long WATCH_MS = 6_000;
  private static final long POLL_MS = 5;

  private LastWork() {}

  /** Seconds from now to the last request that arrives within the watch. */
  static double secondsUntilQuiet(List<UpstreamStandIn> ups) throws InterruptedException {
    long start = System.nanoTime();
    long last = start;
    long seen = arrived(ups);
    while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(WATCH_MS)) {
      long now = arrived(ups);
      if (now != seen) {
        seen = now;
        last = System.nanoTime();
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return (last - start) / 1e9;
  }

  private static long arrived(List<UpstreamStandIn> ups) {
    return ups.stream().mapToLong(u -> u.ran() + u.rejectedCold()).sum();
  }
}
