/** How requests wait for an upstream's slot, are turned away, and are placed. */
@NullMarked
package dev.cactusstack.decisions.placing;

import org.jspecify.annotations.NullMarked;
