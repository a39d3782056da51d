/** Finds out what became of a write whose answer was lost. */
@NullMarked
package dev.cactusstack.decisions.recovery;

import org.jspecify.annotations.NullMarked;
