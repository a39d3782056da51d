/** Which entry hosts a caller is told to use. */
@NullMarked
package dev.cactusstack.decisions.directory;

import org.jspecify.annotations.NullMarked;
