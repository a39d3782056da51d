/** Selects the entry hosts that are returned to a caller. */
@NullMarked
package dev.cactusstack.decisions.directory;

import org.jspecify.annotations.NullMarked;
