package dev.cactusstack.gateway.net;

import dev.cactusstack.model.Address;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Predicate;

/**
 * A request to a server. Confined to one thread.
 *
 * @param connectionPoolKey name of the connections that may carry it
 * @param address the server's address
 * @param method its method
 * @param target its target
 * @param headers its header fields, without those of the body
 * @param body its body, possibly empty
 * @param responseMatcher tells from an answer's header fields whether it answers this request
 * @param maxIdleMs how long a kept connection may have been idle to be used, in milliseconds
 */
public record OutgoingRequest(
    String connectionPoolKey,
    Address address,
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    Predicate<HttpHeaders> responseMatcher,
    long maxIdleMs) {}
