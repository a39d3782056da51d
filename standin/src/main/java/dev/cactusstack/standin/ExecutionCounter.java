package dev.cactusstack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The true count of runs of each request, over all stand-ins that share it. Thread-safe. */
public final class ExecutionCounter {
  private final Map<String, AtomicInteger> countsByRequestId = new ConcurrentHashMap<>();

  void recordExecution(String requestId) {
    if (!requestId.isEmpty()) {
      countsByRequestId.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }
  }

  /**
   * Returns how often a request was run.
   *
   * @param requestId the request's {@code X-Request-Id}
   * @return the true count
   */
  public int count(String requestId) {
    AtomicInteger n = countsByRequestId.get(requestId);
    return n == null ? 0 : n.get();
  }
}
