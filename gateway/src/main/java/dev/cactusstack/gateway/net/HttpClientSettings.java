package dev.cactusstack.gateway.net;

/**
 * Timeouts and limits of a client's connections. Immutable and thread-safe.
 *
 * @param connectTimeoutMs longest time to connect, in milliseconds
 * @param idleTimeoutMs how long an idle connection is kept if the server announces no timeout, in
 *     milliseconds
 * @param tcpKeepAlive whether idle connections are probed by TCP
 * @param maxResponseBytes largest body of a response, in bytes
 * @param maxBufferedBytes most body bytes of incomplete responses on all connections together
 */
public record HttpClientSettings(
    int connectTimeoutMs,
    long idleTimeoutMs,
    boolean tcpKeepAlive,
    int maxResponseBytes,
    int maxBufferedBytes) {}
