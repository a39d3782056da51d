/** The data path: from a caller's request to an upstream's answer. */
@NullMarked
package dev.cactusstack.gateway.callers;

import org.jspecify.annotations.NullMarked;
