/** Structured logging and metrics. */
@NullMarked
package dev.cactusstack.gateway.observe;

import org.jspecify.annotations.NullMarked;
