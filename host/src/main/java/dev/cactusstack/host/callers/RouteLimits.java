package dev.cactusstack.host.callers;

/**
 * The limits that the owner of a route applies. Immutable and thread-safe.
 *
 * @param inFlight maximum number of requests in flight over all upstreams
 * @param perUpstream maximum number of requests in flight at one upstream
 * @param queueLength maximum number of queued requests
 */
record RouteLimits(int inFlight, int perUpstream, int queueLength) {}
