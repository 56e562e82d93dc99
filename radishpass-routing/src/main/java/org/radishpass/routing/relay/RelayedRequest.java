package org.radishpass.routing.relay;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The head of a request that another router relays to this one. Only the server for other routers creates it, so that a
 * caller cannot pretend to be a router.
 *
 * @since 0.9.0
 */
public final class RelayedRequest extends DefaultHttpRequest {
    private final RelayTerms terms;

    RelayedRequest(HttpRequest received, RelayTerms terms) {
        super(received.protocolVersion(), received.method(), received.uri(), received.headers());
        this.terms = terms;
        RelayHeaders.strip(headers());
        if (!terms.bodyDeclared()) {
            headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
    }

    /** Returns the terms of the relaying router. */
    public RelayTerms terms() {
        return terms;
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
