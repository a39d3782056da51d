/** Messages between hosts: heartbeats, asks for a place, and their verdicts. */
@NullMarked
package dev.cactusstack.gateway.scheduling;

import org.jspecify.annotations.NullMarked;
