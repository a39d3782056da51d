/** Roll-outs of new versions: how much they are used, and whether they stay. */
@NullMarked
package dev.cactusstack.decisions.rollouts;

import org.jspecify.annotations.NullMarked;
