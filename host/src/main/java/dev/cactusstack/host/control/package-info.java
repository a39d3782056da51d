/** The controllers: each has one writer, an event loop on a Disruptor ring. */
@NullMarked
package dev.cactusstack.host.control;

import org.jspecify.annotations.NullMarked;
