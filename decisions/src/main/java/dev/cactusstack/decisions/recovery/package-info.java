/** Plans table changes and determines the outcome of a commit whose response was lost. */
@NullMarked
package dev.cactusstack.decisions.recovery;

import org.jspecify.annotations.NullMarked;
