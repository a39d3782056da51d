package dev.cactusstack.gateway.net;

/**
 * Bounds of a client's connections. Immutable and thread-safe.
 *
 * @param connectTimeoutMs longest time for making a connection, in milliseconds
 * @param idleMs how long an unused connection is kept when the server doesn't say, in milliseconds
 * @param keepAliveProbes whether silent connections are probed
 * @param maxAnswerBytes largest body of an answer
 */
public record ClientLimits(
    int connectTimeoutMs, long idleMs, boolean keepAliveProbes, int maxAnswerBytes) {}
