/** The HTTP interface for operators: JSON API, table page and metrics. */
@NullMarked
package dev.cactusstack.host.operators;

import org.jspecify.annotations.NullMarked;
