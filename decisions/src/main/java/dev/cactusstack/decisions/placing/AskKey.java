package dev.cactusstack.decisions.placing;

/**
 * Identifies an ask among all hosts. Immutable and thread-safe.
 *
 * @param host hash of the asking host's name
 * @param number number that the asking host gave it
 */
public record AskKey(int host, long number) {}
