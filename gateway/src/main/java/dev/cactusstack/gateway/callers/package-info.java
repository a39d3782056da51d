/** The data path: accepts requests of callers and forwards them to upstreams. */
@NullMarked
package dev.cactusstack.gateway.callers;

import org.jspecify.annotations.NullMarked;
