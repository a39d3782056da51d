/** What operators configure and upstreams announce, as values: routes, services, upstreams. */
@NullMarked
package dev.cactusstack.model.site;

import org.jspecify.annotations.NullMarked;
