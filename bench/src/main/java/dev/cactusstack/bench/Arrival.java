package dev.cactusstack.bench;

/**
 * One planned request. Immutable and thread-safe.
 *
 * @param dueAfterNanos when to send it, in nanoseconds after the start of the phase
 * @param service the service it is for
 * @param caller a number that identifies the caller
 */
record Arrival(long dueAfterNanos, String service, int caller) {}
