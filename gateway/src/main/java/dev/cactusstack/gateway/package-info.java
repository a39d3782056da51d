/** An entry host for a site whose operators and upstreams speak through a store. */
@NullMarked
package dev.cactusstack.gateway;

import org.jspecify.annotations.NullMarked;
