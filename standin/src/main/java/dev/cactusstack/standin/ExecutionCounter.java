package dev.cactusstack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the actual executions of each request over all stand-ins that share this counter.
 * Thread-safe.
 */
public final class ExecutionCounter {
  private final Map<String, AtomicInteger> countsByRequestId = new ConcurrentHashMap<>();

  void recordExecution(String requestId) {
    if (!requestId.isEmpty()) {
      countsByRequestId.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }
  }

  /**
   * Returns how often a request was executed.
   *
   * @param requestId the request's {@code X-Request-Id}
   * @return the number of executions
   */
  public int count(String requestId) {
    AtomicInteger n = countsByRequestId.get(requestId);
    return n == null ? 0 : n.get();
  }
}
