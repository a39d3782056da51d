/** HTTP over Netty: one connection at a time for each exchange. */
@NullMarked
package dev.cactusstack.gateway.net;

import org.jspecify.annotations.NullMarked;
