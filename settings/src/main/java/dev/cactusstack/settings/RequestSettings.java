package dev.cactusstack.settings;

/**
 * Settings for the handling of requests. Immutable and thread-safe.
 *
 * @param maxQueueLength the maximum number of requests queued for a route at its owner
 * @param queueTimeoutMs the maximum time a request may wait for an upstream
 * @param responseTimeoutMs the maximum time until an upstream starts its response
 * @param connectTimeoutMs the timeout for opening a connection
 * @param maxAttempts the maximum number of attempts per request
 * @param retryRatio the number of retries allowed per first attempt
 * @param hedgeRatio the number of hedged requests allowed per first attempt
 * @param maxClaimsPerSecond the maximum number of requests with an {@code Idempotency-Key} that one
 *     host accepts per second; each request costs the platform two writes
 * @param drainTimeoutMs the maximum time a host waits for requests in flight when it shuts down
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
