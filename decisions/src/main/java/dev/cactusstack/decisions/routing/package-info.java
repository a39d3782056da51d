/** Selects the owner of a route, and the data centre and the upstream of a request. */
@NullMarked
package dev.cactusstack.decisions.routing;

import org.jspecify.annotations.NullMarked;
