/** Request scheduling: admission, queueing and placement of requests on upstream slots. */
@NullMarked
package dev.cactusstack.decisions.placing;

import org.jspecify.annotations.NullMarked;
