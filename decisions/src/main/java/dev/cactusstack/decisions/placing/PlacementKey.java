package dev.cactusstack.decisions.placing;

/**
 * Identifies a placement request across all hosts. Immutable and thread-safe.
 *
 * @param hostHash hash of the requesting host's name
 * @param sequenceNumber number that the requesting host assigned to it
 */
public record PlacementKey(int hostHash, long sequenceNumber) {}
