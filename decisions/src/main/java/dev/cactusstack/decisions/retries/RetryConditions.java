package dev.cactusstack.decisions.retries;

/**
 * The properties of a request that a retry depends on. Immutable and thread-safe.
 *
 * @param idempotent whether running the request twice has the effect of running it once
 * @param bodyReplayable whether the complete body can be sent again
 * @param retryAllowed whether the number of attempts, the retry budget and the deadline allow
 *     another
 * @param earlierAttemptsNotRun whether every earlier attempt proved that the request did not run
 */
public record RetryConditions(
    boolean idempotent,
    boolean bodyReplayable,
    boolean retryAllowed,
    boolean earlierAttemptsNotRun) {}
