package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * Receives the response to a request that was written to an endpoint. Called on the traffic event loop. No call follows
 * {@link #completed} or {@link #failed}.
 *
 * @since 0.16.0
 */
public interface ResponseListener {
    /** Called when the head of the response to this request was received. */
    void head(HttpResponse response, ResponseHead head);

    /** Called with a part of the body, which the listener must release. */
    void content(ByteBuf part);

    /** Called when all bytes that could be read for now have been passed to the listener. */
    void readComplete();

    /**
     * Called when the HTTP message is complete, or the connection was closed in order after a close-delimited body.
     *
     * @param framing the framing of the body
     */
    void completed(BodyFraming framing);

    /**
     * Called when the connection closed, or the received bytes were malformed, before the HTTP message was complete.
     *
     * @param framing the framing of the body; {@link BodyFraming#NONE} if no head was received
     * @param end how the response broke off
     */
    void failed(BodyFraming framing, ResponseEnd.BrokenOff end);
}
