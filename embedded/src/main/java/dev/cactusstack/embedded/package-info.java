/** Runs the platform stand-in, upstream stand-ins and entry hosts in one process. */
@NullMarked
package dev.cactusstack.embedded;

import org.jspecify.annotations.NullMarked;
