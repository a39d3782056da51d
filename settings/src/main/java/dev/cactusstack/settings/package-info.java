/** Reads and validates the settings of an entry host, written as JSON with comments. */
@NullMarked
package dev.cactusstack.settings;

import org.jspecify.annotations.NullMarked;
