package org.radishpass.routing.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * Receives the course of one request that is relayed to another router. Called on the traffic event loop. No call follows
 * {@link #notRead}, {@link #refused}, {@link #completed} or {@link #failed}.
 *
 * @since 0.9.0
 */
public interface RelayListener {
    /** Called before the last byte of the request is written. From here on the request may run. */
    void sending();

    /**
     * Called when the other router has certainly not read the whole request: the connection could not be established, or
     * the router did not ask for the body.
     */
    void notRead(String cause);

    /**
     * Called when the other router itself has ended the request, without a response of an endpoint.
     *
     * @param response the head of the response; its status tells whether the request may have run
     * @param body the body, which the listener must release
     */
    void refused(HttpResponse response, ByteBuf body);

    /** Called when the head of an endpoint's response was received. */
    void head(HttpResponse response);

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
     * Called when the response broke off after the whole request was sent: the request may have run.
     *
     * @param framing the framing of the body; {@link BodyFraming#NONE} if no head was received
     * @param end how the response broke off
     */
    void failed(BodyFraming framing, ResponseEnd.BrokenOff end);
}
