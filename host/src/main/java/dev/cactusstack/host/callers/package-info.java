/**
 * The data path: a chain of filters from the callers' port to an upstream. It reads snapshots that
 * the controllers publish and uses no locks.
 */
@NullMarked
package dev.cactusstack.host.callers;

import org.jspecify.annotations.NullMarked;
