/**
 * Immutable values shared by every module: names, addresses, routes, tables, edits and their
 * outcomes.
 *
 * <p>Nothing in this package performs input or output. All types are thread-safe.
 */
@NullMarked
package dev.cactusstack.model;

import org.jspecify.annotations.NullMarked;
