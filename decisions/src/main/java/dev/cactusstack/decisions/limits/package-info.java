/** Limits on what the system itself spends. */
@NullMarked
package dev.cactusstack.decisions.limits;

import org.jspecify.annotations.NullMarked;
