/** The whole path in one process: the platform stand-in, upstream stand-ins and entry hosts. */
@NullMarked
package dev.cactusstack.embedded;

import org.jspecify.annotations.NullMarked;
