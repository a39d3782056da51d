package dev.cactusstack.ctl;

import java.util.Optional;

/**
 * Options of commands that change the configuration. Immutable and thread-safe.
 *
 * @param ifVersion the version that must still be in force, if the operator gave one
 * @param operation the operation id, which makes a repeated edit idempotent
 * @param force whether to skip the check that protects the last data centre in service
 */
record EditOptions(Optional<Long> ifVersion, String operation, boolean force) {}
