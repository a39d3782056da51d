/** An entry host: its data path, its controllers and its ports. */
@NullMarked
package dev.cactusstack.host;

import org.jspecify.annotations.NullMarked;
