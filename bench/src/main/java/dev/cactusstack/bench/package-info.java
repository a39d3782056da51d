/** Experiments on loopback: load, faults and measurements over stand-ins and real entry hosts. */
@NullMarked
package dev.cactusstack.bench;

import org.jspecify.annotations.NullMarked;
