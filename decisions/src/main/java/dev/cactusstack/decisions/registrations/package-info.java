/** Which registered upstreams may receive requests, and how old a registration may be. */
@NullMarked
package dev.cactusstack.decisions.registrations;

import org.jspecify.annotations.NullMarked;
