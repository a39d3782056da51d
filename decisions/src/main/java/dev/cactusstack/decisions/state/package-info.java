/** Infers the state of an upstream from evidence. */
@NullMarked
package dev.cactusstack.decisions.state;

import org.jspecify.annotations.NullMarked;
