/**
 * The decision logic of the system as pure functions and state machines: routing, limits, retries,
 * membership, upstream state and recovery.
 *
 * <p>No class in this package or its subpackages opens a socket, starts a thread, reads a clock or
 * uses unseeded randomness; times and random generators are parameters. An ArchUnit test enforces
 * this.
 */
@NullMarked
package dev.cactusstack.decisions;

import org.jspecify.annotations.NullMarked;
