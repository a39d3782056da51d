/**
 * The choices of the system, as pure code: routing, limits, retries, membership, state and
 * recovery.
 *
 * <p>No class below this package opens a socket, starts a thread, reads a clock or draws unseeded
 * randomness; time and random generators are parameters. An ArchUnit test holds that.
 */
@NullMarked
package dev.cactusstack.decisions;

import org.jspecify.annotations.NullMarked;
