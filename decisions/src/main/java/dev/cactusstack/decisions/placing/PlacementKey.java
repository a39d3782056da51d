package dev.cactusstack.decisions.placing;

/**
 * Identifies an ask among all hosts. Immutable and thread-safe.
 *
 * @param hostHash hash of the asking host's name
 * @param sequenceNumber number that the asking host gave it
 */
public record PlacementKey(int hostHash, long sequenceNumber) {}
