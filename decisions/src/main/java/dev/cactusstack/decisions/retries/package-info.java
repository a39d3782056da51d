/** Retry and hedging policy: when a request may be sent again and what its caller is told. */
@NullMarked
package dev.cactusstack.decisions.retries;

import org.jspecify.annotations.NullMarked;
