/**
 * The controllers. Only one thread changes their state: an event loop on a Disruptor ring buffer.
 */
@NullMarked
package dev.cactusstack.host.control;

import org.jspecify.annotations.NullMarked;
