package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.radishpass.routing.dialect.AnswerHead;

/**
 * Hears what becomes of a request that was written to an endpoint. Called on the traffic thread; after
 * {@link #completed} or {@link #broken} nothing more comes.
 */
interface AnswerListener {
    /** The head has come, and answers this request. */
    void head(HttpResponse response, AnswerHead head);

    /** A part of the body has come; the listener releases it. */
    void content(ByteBuf part);

    /** All that could be read for now has been passed on. */
    void pause();

    /** The answer is complete by its own framing. */
    void completed();

    /** The connection ended, or the bytes make no sense, before the answer was complete. */
    void broken(String cause);
}
