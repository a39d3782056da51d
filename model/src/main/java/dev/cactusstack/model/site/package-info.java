/** Immutable values for what operators configure and what hosts and upstreams register. */
@NullMarked
package dev.cactusstack.model.site;

import org.jspecify.annotations.NullMarked;
