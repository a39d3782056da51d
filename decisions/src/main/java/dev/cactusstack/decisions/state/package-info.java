/** Infers the state of an upstream from observations. */
@NullMarked
package dev.cactusstack.decisions.state;

import org.jspecify.annotations.NullMarked;
