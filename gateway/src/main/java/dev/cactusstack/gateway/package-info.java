/** An entry host for a site whose operators and upstreams use a shared store. */
@NullMarked
package dev.cactusstack.gateway;

import org.jspecify.annotations.NullMarked;
