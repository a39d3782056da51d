/** Failure detection by gossip: which hosts are alive, from heartbeat counters that hosts share. */
@NullMarked
package dev.cactusstack.decisions.gossip;

import org.jspecify.annotations.NullMarked;
