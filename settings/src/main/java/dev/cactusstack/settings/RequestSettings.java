package dev.cactusstack.settings;

/**
 * How requests are treated. Immutable and thread-safe.
 *
 * @param maxQueueLength most requests that wait for one route at its owner
 * @param queueTimeoutMs how long a request may wait for an upstream
 * @param responseTimeoutMs how long an upstream may take to begin its answer
 * @param connectTimeoutMs how long opening a connection may take
 * @param maxAttempts most attempts for one request
 * @param retryRatio retries allowed for each first attempt
 * @param hedgeRatio second attempts beside a slow one allowed for each first attempt
 * @param maxClaimsPerSecond most requests with an {@code Idempotency-Key} that one host takes in a
 *     second; each costs the platform two writes
 * @param drainTimeoutMs how long a leaving host waits for requests in flight
 */
public record RequestSettings(
    int maxQueueLength,
    int queueTimeoutMs,
    int responseTimeoutMs,
    int connectTimeoutMs,
    int maxAttempts,
    double retryRatio,
    double hedgeRatio,
    int maxClaimsPerSecond,
    int drainTimeoutMs) {

  static RequestSettings read(Section s) {
    var settings =
        new RequestSettings(
            (int) s.integer("queue_length", 256, 0, 100_000),
            (int) s.integer("queue_timeout_ms", 2_000, 1, 600_000),
            (int) s.integer("answer_timeout_ms", 30_000, 10, 3_600_000),
            (int) s.integer("connect_timeout_ms", 500, 10, 60_000),
            (int) s.integer("attempts", 3, 1, 10),
            s.fraction("retry_share", 0.1),
            s.fraction("hedge_share", 0.05),
            (int) s.integer("claims_per_second", 10, 1, 10_000),
            (int) s.integer("drain_timeout_ms", 600_000, 0, 86_400_000));
    s.rejectUnknownKeys();
    return settings;
  }
}
