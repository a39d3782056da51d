package dev.cactusstack.bench;

import dev.cactusstack.standin.UpstreamStandIn;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Measures when upstreams received their last request. Stateless. */
final class LastRequestWatch {
  private static final long WATCH_MS = 6_000;
  private static final long POLL_MS = 5;

  private LastRequestWatch() {}

  /** Returns the seconds from now to the last request that arrives during the watch. */
  static double secondsUntilLastRequest(List<UpstreamStandIn> upstreams)
      throws InterruptedException {
    long start = System.nanoTime();
    long lastChangeNanos = start;
    long lastCount = receivedRequests(upstreams);
    while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(WATCH_MS)) {
      long now = receivedRequests(upstreams);
      if (now != lastCount) {
        lastCount = now;
        lastChangeNanos = System.nanoTime();
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return (lastChangeNanos - start) / 1e9;
  }

  private static long receivedRequests(List<UpstreamStandIn> upstreams) {
    return upstreams.stream().mapToLong(u -> u.executedRequests() + u.rejectedWhileCold()).sum();
  }
}
