/** Authenticated datagrams between entry hosts, on Netty and Protocol Buffers. */
@NullMarked
package dev.cactusstack.link;

import org.jspecify.annotations.NullMarked;
