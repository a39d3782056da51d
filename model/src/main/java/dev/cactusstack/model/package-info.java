/**
 * Immutable values shared by every module: names, addresses, routes, tables, edits and their
 * outcomes.
 *
 * <p>No type in this package performs I/O. All types are thread-safe.
 */
@NullMarked
package dev.cactusstack.model;

import org.jspecify.annotations.NullMarked;
