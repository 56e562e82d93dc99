package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.radishpass.routing.dialect.ResponseHead;

/**
 * Receives the response to a request that was written to an endpoint. Called on the traffic event loop. No call follows
 * {@link #completed} or {@link #failed}.
 */
interface ResponseListener {
    /** Called when the head of the response to this request was received. */
    void head(HttpResponse response, ResponseHead head);

    /** Called with a part of the body, which the listener must release. */
    void content(ByteBuf part);

    /** Called when all bytes that could be read for now have been passed to the listener. */
    void readComplete();

    /** Called when the response is complete by its HTTP framing. */
    void completed();

    /** Called when the connection closed, or the received bytes were malformed, before the response was complete. */
    void failed(String cause);
}
