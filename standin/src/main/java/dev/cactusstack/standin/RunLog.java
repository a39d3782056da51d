package dev.cactusstack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The true count of runs of each request, over all stand-ins that share it. Thread-safe. */
public final class RunLog {
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  void ran(String requestId) {
    if (!requestId.isEmpty()) {
      runs.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }
  }

  /**
   * Returns how often a request was run.
   *
   * @param requestId the request's {@code X-Request-Id}
   * @return the true count
   */
  public int count(String requestId) {
    AtomicInteger n = runs.get(requestId);
    return n == null ? 0 : n.get();
  }
}
