package dev.cactusstack.ctl;

import java.util.Optional;

/**
 * Options of commands that change something. Immutable and thread-safe.
 *
 * @param ifVersion the version that must still be in force, if the operator named one
 * @param operation the operation's id
 * @param force whether a check may be passed over
 */
record EditOptions(Optional<Long> ifVersion, String operation, boolean force) {}
