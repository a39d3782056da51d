package dev.cactusstack.host.callers;

/**
 * The limits of a route as its owner applies them. Immutable and thread-safe.
 *
 * @param inFlight most requests in flight over all upstreams
 * @param perUpstream most requests in flight at one upstream
 * @param queueLength most requests waiting
 */
record RouteLimits(int inFlight, int perUpstream, int queueLength) {}
