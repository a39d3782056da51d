/** The port for operators: a JSON interface, the table page and metrics. */
@NullMarked
package dev.cactusstack.host.operators;

import org.jspecify.annotations.NullMarked;
