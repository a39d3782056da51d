/** Controllers that track the configuration, upstreams and other hosts. */
@NullMarked
package dev.cactusstack.gateway.control;

import org.jspecify.annotations.NullMarked;
