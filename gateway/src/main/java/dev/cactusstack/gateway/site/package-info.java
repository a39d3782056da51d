/** Interfaces that a site implements: the store, and the header fields of HTTP messages. */
@NullMarked
package dev.cactusstack.gateway.site;

import org.jspecify.annotations.NullMarked;
