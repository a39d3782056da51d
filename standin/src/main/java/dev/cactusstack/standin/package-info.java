/**
 * Stand-ins that simulate the platform and the upstreams, for tests, experiments and {@code
 * --embedded}. Nothing else depends on this package.
 */
@NullMarked
package dev.cactusstack.standin;

import org.jspecify.annotations.NullMarked;
