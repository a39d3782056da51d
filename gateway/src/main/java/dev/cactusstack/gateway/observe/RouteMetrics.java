package dev.cactusstack.gateway.observe;

import java.util.Map;
import java.util.TreeMap;

/** What happened to the requests of one route. Confined to the event loop. */
public final class RouteMetrics {
  private final LatencyHistogram recordAnsweredRequest = new LatencyHistogram();
  private final LatencyHistogram waited = new LatencyHistogram();
  private final Map<String, Long> attempts = new TreeMap<>();
  private final Map<String, Long> refusals = new TreeMap<>();
  private final Map<String, Long> repeats = new TreeMap<>();

  /**
   * Counts a request that got an upstream's answer.
   *
   * @param ms from its arrival to its whole answer
   */
  public void recordAnsweredRequest(long ms) {
    recordAnsweredRequest.add(ms);
  }

  /**
   * Counts an attempt that was sent.
   *
   * @param ms from the request's arrival until then
   */
  public void recordSentAttempt(long ms) {
    waited.add(ms);
  }

  /**
   * Counts the end of an attempt.
   *
   * @param end how it ended, one of few words
   */
  public void recordAttemptOutcome(String end) {
    attempts.merge(end, 1L, Long::sum);
  }

  /**
   * Counts a request that the system answered itself, or whose caller left.
   *
   * @param why the reason, one of few words
   */
  public void recordRefusal(String why) {
    refusals.merge(why, 1L, Long::sum);
  }

  /**
   * Counts a request that wanted to be sent once more.
   *
   * @param allowed whether the budget allowed it
   */
  public void recordRetryDecision(boolean allowed) {
    repeats.merge(allowed ? "allowed" : "denied", 1L, Long::sum);
  }

  LatencyHistogram recordAnsweredRequest() {
    return recordAnsweredRequest;
  }

  LatencyHistogram waited() {
    return waited;
  }

  Map<String, Long> attempts() {
    return attempts;
  }

  Map<String, Long> refusals() {
    return refusals;
  }

  Map<String, Long> repeats() {
    return repeats;
  }
}
