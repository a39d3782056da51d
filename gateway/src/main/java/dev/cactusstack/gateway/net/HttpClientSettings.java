package dev.cactusstack.gateway.net;

/**
 * Bounds of a client's connections. Immutable and thread-safe.
 *
 * @param connectTimeoutMs longest time for making a connection, in milliseconds
 * @param idleTimeoutMs how long an unused connection is kept when the server doesn't say, in milliseconds
 * @param tcpKeepAlive whether silent connections are probed
 * @param maxResponseBytes largest body of an answer
 */
public record HttpClientSettings(
    int connectTimeoutMs, long idleTimeoutMs, boolean tcpKeepAlive, int maxResponseBytes) {}
