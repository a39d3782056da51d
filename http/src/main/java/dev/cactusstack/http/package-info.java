/**
 * A small asynchronous HTTP client for control traffic, on Undertow's client.
 *
 * <p>Requests of callers and their responses do not pass through this package.
 */
@NullMarked
package dev.cactusstack.http;

import org.jspecify.annotations.NullMarked;
