package org.radishpass.routing.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates between a deployment's header names and the product's types. It decides nothing.
 *
 * @since 0.2.0
 */
public interface RequestDialect {
    /**
     * Reads a caller's request head.
     *
     * @param request the request
     * @throws MalformedHeadException if a header cannot be read
     */
    RequestHead decode(HttpRequest request);

    /**
     * Turns a caller's headers into those for an endpoint: removes what callers may not say and what is for the router
     * alone, and adds the router's own.
     *
     * @param headers a copy of the caller's headers without those that concern one connection only; changed
     * @param forwarding what the router says
     */
    void encode(HttpHeaders headers, ForwardingHead forwarding);

    /**
     * Reads an endpoint's answer head.
     *
     * @param response the answer
     */
    AnswerHead decodeAnswer(HttpResponse response);
}
