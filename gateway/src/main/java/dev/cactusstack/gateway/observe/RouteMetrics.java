package dev.cactusstack.gateway.observe;

import java.util.Map;
import java.util.TreeMap;

/** Counters and latency histograms of one route. Confined to the event loop. */
public final class RouteMetrics {
  private final LatencyHistogram requestLatency = new LatencyHistogram();
  private final LatencyHistogram queueLatency = new LatencyHistogram();
  private final Map<String, Long> attemptsByOutcome = new TreeMap<>();
  private final Map<String, Long> refusalsByReason = new TreeMap<>();
  private final Map<String, Long> retriesByDecision = new TreeMap<>();
  private final Map<String, Long> hedgesByEvent = new TreeMap<>();

  /**
   * Records a request that was answered with an upstream's response.
   *
   * @param durationMs time from the request's arrival to the complete response, in milliseconds
   */
  public void recordAnsweredRequest(long durationMs) {
    requestLatency.observe(durationMs);
  }

  /**
   * Records an attempt that was sent.
   *
   * @param durationMs time from the request's arrival until the attempt was sent, in milliseconds
   */
  public void recordSentAttempt(long durationMs) {
    queueLatency.observe(durationMs);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param outcome the outcome, one of a small set of label values
   */
  public void recordAttemptOutcome(String outcome) {
    attemptsByOutcome.merge(outcome, 1L, Long::sum);
  }

  /**
   * Records a request that the host answered itself, or that its caller cancelled.
   *
   * @param reason the reason, one of a small set of label values
   */
  public void recordRefusal(String reason) {
    refusalsByReason.merge(reason, 1L, Long::sum);
  }

  /**
   * Records whether a retry or hedge was allowed.
   *
   * @param allowed whether the retry budget allowed it
   */
  public void recordRetryDecision(boolean allowed) {
    retriesByDecision.merge(allowed ? "allowed" : "denied", 1L, Long::sum);
  }

  /**
   * Records an event in the course of a hedge.
   *
   * @param event the event, one of a small set of label values
   */
  public void recordHedge(String event) {
    hedgesByEvent.merge(event, 1L, Long::sum);
  }

  LatencyHistogram requestLatency() {
    return requestLatency;
  }

  LatencyHistogram queueLatency() {
    return queueLatency;
  }

  Map<String, Long> attemptsByOutcome() {
    return attemptsByOutcome;
  }

  Map<String, Long> refusalsByReason() {
    return refusalsByReason;
  }

  Map<String, Long> retriesByDecision() {
    return retriesByDecision;
  }

  Map<String, Long> hedgesByEvent() {
    return hedgesByEvent;
  }
}
