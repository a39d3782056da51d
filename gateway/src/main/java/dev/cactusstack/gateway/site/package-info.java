/** What the host needs from its site: the store, and the header fields of messages. */
@NullMarked
package dev.cactusstack.gateway.site;

import org.jspecify.annotations.NullMarked;
