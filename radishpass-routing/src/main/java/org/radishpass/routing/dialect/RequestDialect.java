package org.radishpass.routing.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates between the HTTP headers of a deployment and the types of this package. Implementations make no routing
 * decisions.
 *
 * @since 0.2.0
 */
public interface RequestDialect {
    /**
     * Decodes the head of a caller's request.
     *
     * @param request the request
     * @throws MalformedHeadException if a header cannot be decoded
     */
    RequestHead decode(HttpRequest request);

    /**
     * Turns the headers of a caller's request into those for an endpoint: removes headers that callers may not set or
     * that are meant for the router only, and adds the headers of the router.
     *
     * @param headers a copy of the caller's headers without hop-by-hop headers; modified by this method
     * @param forwarding the values that the router adds
     */
    void encode(HttpHeaders headers, ForwardingHeaders forwarding);

    /**
     * Removes the key of the caller, which is not handed on to other routers.
     *
     * @param headers a copy of the caller's headers; modified by this method
     * @since 0.9.0
     */
    void removeKey(HttpHeaders headers);

    /**
     * Decodes the head of an endpoint's response.
     *
     * @param response the response
     */
    ResponseHead decodeResponse(HttpResponse response);

    /**
     * Tells whether endpoints state the id of the request in each response to a request that has one.
     *
     * @since 0.16.0
     */
    boolean endpointsEchoIds();
}
