/** Which hosts are alive, from heartbeat counters that hosts pass on to each other. */
@NullMarked
package dev.cactusstack.decisions.gossip;

import org.jspecify.annotations.NullMarked;
