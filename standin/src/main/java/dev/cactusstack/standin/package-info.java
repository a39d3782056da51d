/**
 * Stand-ins for what surrounds the system: the platform and the upstreams. For tests, experiments
 * and {@code --embedded}; nothing else depends on this package.
 */
@NullMarked
package dev.cactusstack.standin;

import org.jspecify.annotations.NullMarked;
