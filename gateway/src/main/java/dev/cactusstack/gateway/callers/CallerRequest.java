package dev.cactusstack.gateway.callers;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller. Its header fields are not changed by anyone.
 *
 * @param method its method
 * @param target its target
 * @param headers its header fields
 * @param body its body, possibly empty
 * @param arrivedAtMs when its header section arrived, on the host's steady clock, in milliseconds
 */
public record CallerRequest(
    HttpMethod method, String target, HttpHeaders headers, byte[] body, long arrivedAtMs) {}
