/**
 * A small asynchronous HTTP client for control traffic, on Undertow's client.
 *
 * <p>Requests and answers of callers do not pass through this package.
 */
@NullMarked
package dev.cactusstack.http;

import org.jspecify.annotations.NullMarked;
