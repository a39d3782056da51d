/** Interfaces to the platform's table service and host list, with their HTTP clients. */
@NullMarked
package dev.cactusstack.storage;

import org.jspecify.annotations.NullMarked;
