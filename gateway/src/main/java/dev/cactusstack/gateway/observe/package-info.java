/** Structured log lines and counters. */
@NullMarked
package dev.cactusstack.gateway.observe;

import org.jspecify.annotations.NullMarked;
