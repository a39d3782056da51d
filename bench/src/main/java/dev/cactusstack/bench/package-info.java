/** Experiments on loopback that apply load and faults to entry hosts and stand-ins. */
@NullMarked
package dev.cactusstack.bench;

import org.jspecify.annotations.NullMarked;
