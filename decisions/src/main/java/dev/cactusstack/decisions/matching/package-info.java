/** Which route and which of its services a request belongs to. */
@NullMarked
package dev.cactusstack.decisions.matching;

import org.jspecify.annotations.NullMarked;
