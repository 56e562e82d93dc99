package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.EndEvidence;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * Passes the response to the request in flight on, and nothing else that the connection delivers.
 *
 * <p>A response with the id of another request is skipped, and one that nothing ties to the request ends the request as
 * failed. A response is complete when the read that held its end is over, so that bytes which follow it are seen before
 * another request is sent.
 *
 * @since 0.16.0
 */
public final class ResponseReader {
    private final RequestDialect dialect;
    private final MessageBoundary boundary;
    private final Owner owner;
    private final SkippedResponses skipped = new SkippedResponses();
    private RepeatedHeadDetector ownBody = new RepeatedHeadDetector("");
    private @Nullable ResponseListener listener;
    private String requestId = "";
    private HttpMethod method = HttpMethod.GET;
    private ConnectionUse use = ConnectionUse.NONE;
    private BodyFraming framing = BodyFraming.NONE;
    private @Nullable ResponseHead head;
    private boolean ended;

    /**
     * Creates a reader without a request.
     *
     * @param dialect decodes the heads
     * @param boundary the boundary of the connection
     * @param owner owns the connection
     */
    public ResponseReader(RequestDialect dialect, MessageBoundary boundary, Owner owner) {
        this.dialect = dialect;
        this.boundary = boundary;
        this.owner = owner;
    }

    /** Expects the response to a request, which is written next. */
    public void begin(HttpMethod requestMethod, String id, ConnectionUse connectionUse, ResponseListener receiver) {
        method = requestMethod;
        requestId = id;
        use = connectionUse;
        listener = receiver;
        framing = BodyFraming.NONE;
        head = null;
        ended = false;
        skipped.reset();
        ownBody = new RepeatedHeadDetector(id);
        boundary.requestSent(requestMethod);
    }

    /** Tells whether a response is expected or not complete. */
    public boolean active() {
        return listener != null;
    }

    /** Passes nothing more on, and does not notify the listener. */
    public void stop() {
        listener = null;
    }

    /** Reads a decoded part of a message. */
    public void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            malformed("not-decoded");
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            content(content);
        }
    }

    /** Tells the listener that all bytes that could be read for now were passed on. */
    public void readComplete() {
        if (listener != null) {
            listener.readComplete();
        }
    }

    /**
     * Completes the response if its last part was received.
     *
     * @param surplus what followed the response, which belongs to no request
     */
    public void readEnded(Surplus surplus) {
        if (ended && listener != null) {
            complete(surplus);
        }
    }

    /** Ends the request as failed since the connection was closed, unless the response is complete. */
    public void connectionClosed() {
        if (!ended) {
            fail(EndEvidence.CONNECTION_ENDED_EARLY, "connection closed");
        }
    }

    /** Ends the request as failed since what was received is no legal response to it. */
    public void malformed(String reason) {
        if (head == null && listener != null) {
            owner.headRejected(reason, requestId);
        }
        fail(EndEvidence.MALFORMED, "malformed response: " + reason);
    }

    /** Closes the connection, and ends the request as failed. */
    public void fail(EndEvidence evidence, String cause) {
        ResponseListener receiver = listener;
        listener = null;
        owner.close();
        if (receiver != null) {
            receiver.failed(framing, new ResponseEnd.BrokenOff(evidence, cause));
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse();
            return;
        }
        ResponseHead decoded = dialect.decodeResponse(response);
        switch (ResponseOwner.of(decoded, requestId, use.reused(), dialect.endpointsEchoIds())) {
            case UNKNOWN -> malformed(decoded.ambiguous() ? "repeated-id-or-signature" : "no-request-id");
            case OTHER_REQUEST -> {
                owner.headReceived(decoded);
                owner.otherResponse(requestId, decoded);
                use.responseSkipped();
                skipResponse();
            }
            case THIS_REQUEST -> {
                owner.headReceived(decoded);
                ownHead(response, decoded);
            }
        }
    }

    private void ownHead(HttpResponse response, ResponseHead decoded) {
        if (decoded.unsignedSuccess()) {
            malformed("unsigned-success");
            return;
        }
        head = decoded;
        framing = BodyFraming.of(method, response);
        ResponseListener receiver = listener;
        if (receiver != null) {
            receiver.head(response, decoded);
        }
    }

    private void skipResponse() {
        skipped.headSkipped();
        checkSkipped();
    }

    private void checkSkipped() {
        if (skipped.exceeded()) {
            malformed("too-much-skipped");
        } else if (skipped.desynchronized()) {
            malformed("status-line-in-skipped-body");
        }
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        ResponseListener receiver = listener;
        if (skipped.insideResponse() || head == null || receiver == null) {
            skipped.contentSkipped(content.content(), last);
            content.release();
            checkSkipped();
        } else if (ownBody.beginsAgain(content.content())) {
            content.release();
            fail(EndEvidence.MALFORMED, "another response to the request begins inside its response");
        } else {
            pass(content.content(), receiver);
            if (last) {
                ended = true;
                boundary.responseEnded();
            }
        }
    }

    private static void pass(ByteBuf part, ResponseListener receiver) {
        if (part.isReadable()) {
            receiver.content(part);
        } else {
            part.release();
        }
    }

    private void complete(Surplus surplus) {
        ResponseListener receiver = listener;
        ResponseHead completed = head;
        listener = null;
        boolean boundaryKnown = surplus == Surplus.NONE && framing.statesEnd();
        if (completed != null && boundaryKnown && !completed.closing()) {
            owner.reusable(completed);
        } else {
            owner.close();
        }
        if (receiver != null) {
            receiver.completed(framing);
        }
    }

    /**
     * Owns the connection, and is told what was received on it.
     *
     * @since 0.16.0
     */
    public interface Owner {
        /** Called for each head whose request is known, before it is passed on or skipped. */
        void headReceived(ResponseHead head);

        /** Called for each response to another request than the one in flight. */
        void otherResponse(String requestId, ResponseHead head);

        /** Called for a head that is not taken for the head of the response to the request in flight. */
        void headRejected(String reason, String requestId);

        /** Called when another request may be sent on the connection after the response with the given head. */
        void reusable(ResponseHead head);

        /** Closes the connection. */
        void close();
    }
}
