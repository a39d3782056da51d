/** The operators' command line. */
@NullMarked
package dev.cactusstack.ctl;

import org.jspecify.annotations.NullMarked;
