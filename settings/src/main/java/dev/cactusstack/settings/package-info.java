/** Reads and checks the settings of an entry host: JSON with comments, every key checked. */
@NullMarked
package dev.cactusstack.settings;

import org.jspecify.annotations.NullMarked;
