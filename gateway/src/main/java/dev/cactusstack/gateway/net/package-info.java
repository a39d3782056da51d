/** An HTTP/1.1 client over Netty; a connection carries one exchange at a time. */
@NullMarked
package dev.cactusstack.gateway.net;

import org.jspecify.annotations.NullMarked;
