/** Rate limits on the resources that the system itself uses. */
@NullMarked
package dev.cactusstack.decisions.limits;

import org.jspecify.annotations.NullMarked;
