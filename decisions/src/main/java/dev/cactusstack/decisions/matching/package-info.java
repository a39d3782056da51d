/** Selects the route of a request and one of the services of that route. */
@NullMarked
package dev.cactusstack.decisions.matching;

import org.jspecify.annotations.NullMarked;
