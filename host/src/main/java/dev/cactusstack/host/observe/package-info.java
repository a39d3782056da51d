/** Observability of the host: structured log events and metrics. */
@NullMarked
package dev.cactusstack.host.observe;

import org.jspecify.annotations.NullMarked;
