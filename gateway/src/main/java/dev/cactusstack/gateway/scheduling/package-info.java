/** Messages between hosts, and the placement of requests on upstreams. */
@NullMarked
package dev.cactusstack.gateway.scheduling;

import org.jspecify.annotations.NullMarked;
