package dev.cactusstack.gateway.net;

import dev.cactusstack.model.Address;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to a server. Confined to one thread.
 *
 * @param connectionPoolKey the key of the connection pool to use
 * @param address the server's address
 * @param method its method
 * @param target its target
 * @param headers its header fields, without those of the body
 * @param body its body, possibly empty
 * @param responseMatcher determines whether a response belongs to this request
 * @param maxIdleMs longest idle time of a connection to be reused, in milliseconds
 */
public record OutgoingRequest(
    String connectionPoolKey,
    Address address,
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    ResponseMatcher responseMatcher,
    long maxIdleMs) {}
