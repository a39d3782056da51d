/** The command-line tool for operators. */
@NullMarked
package dev.cactusstack.ctl;

import org.jspecify.annotations.NullMarked;
