package org.radishpass.routing.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.EndEvidence;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * One request that is relayed to another router. The end of the request is written only once the other router has asked
 * for the body, so that until then the request has certainly not been read.
 *
 * @since 0.9.0
 */
public final class RelayCall {
    /** The informational responses that are skipped before the response to the request. */
    private static final int MAX_INFORMATIONAL = 32;

    /** The maximum size of the body of a refusal, in bytes. A router sends a short text. */
    private static final int MAX_REFUSAL_BYTES = 65_536;

    private final HttpRequest head;
    private final ByteBuf body;
    private final RelayListener listener;
    private final Runnable whenEnded;
    private @Nullable Channel channel;
    private @Nullable CompositeByteBuf refusalBody;
    private @Nullable HttpResponse refusal;
    private boolean sent;
    private boolean skippingContinue;
    private int informational;
    private boolean reusable;
    private BodyFraming framing = BodyFraming.NONE;
    private boolean ended;

    /**
     * Creates a call.
     *
     * @param head the head of the request
     * @param body the body, which is not consumed
     * @param listener receives the course of the request
     * @param whenEnded called once, when no further call to the listener follows
     */
    RelayCall(HttpRequest head, ByteBuf body, RelayListener listener, Runnable whenEnded) {
        this.head = head;
        this.body = body.retainedDuplicate();
        this.listener = listener;
        this.whenEnded = whenEnded;
    }

    /** Writes the head of the request. */
    void begin(Channel connected) {
        channel = connected;
        var unused = connected.writeAndFlush(head);
    }

    /** Tells whether the other router has not yet asked for the body or refused the request. */
    boolean awaitsContinue() {
        return !ended && !sent && refusal == null;
    }

    boolean ended() {
        return ended;
    }

    HttpMethod method() {
        return head.method();
    }

    /** Tells whether another request can follow on the connection. */
    boolean connectionReusable() {
        return reusable;
    }

    /** Enables or disables reading of the response. */
    public void autoRead(boolean enabled) {
        if (channel != null) {
            channel.config().setAutoRead(enabled);
        }
    }

    /** Ends the call and closes its connection, upon which the other router stops working on the request. */
    public void cancel() {
        if (end() && channel != null) {
            var unused = channel.close();
        }
    }

    /** Ends the call because no connection could be established, or the other router did not ask for the body. */
    void notRead(String cause) {
        if (end()) {
            listener.notRead(cause);
        }
    }

    /** Ends the call because its connection was lost. */
    void connectionLost(EndEvidence evidence, String cause) {
        if (!end()) {
            return;
        }
        if (sent) {
            listener.failed(framing, new ResponseEnd.BrokenOff(evidence, cause));
        } else {
            listener.notRead(cause);
        }
    }

    void received(HttpResponse response) {
        String call = response.headers().get(RelayHeaders.CALL);
        response.headers().remove(RelayHeaders.CALL);
        if (call != null && !call.equals(head.headers().get(RelayHeaders.CALL))) {
            connectionLost(EndEvidence.MALFORMED, "the router sent the response to another request");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skippingContinue = true;
            informational++;
            if (informational > MAX_INFORMATIONAL) {
                connectionLost(EndEvidence.MALFORMED, "the router sent more informational responses than are skipped");
                return;
            }
            if (response.status().equals(HttpResponseStatus.CONTINUE) && !sent) {
                sendBody();
            }
            return;
        }
        // without the name, a later response on this connection could not be told from one to this request
        reusable = sent && call != null && HttpUtil.isKeepAlive(response);
        framing = BodyFraming.of(head.method(), response);
        String marked = response.headers().get(RelayHeaders.REFUSAL);
        if (marked != null && RelayHeaders.isRejection(marked)) {
            notRead("the router rejected the request: " + marked);
        } else if (marked != null) {
            response.headers().remove(RelayHeaders.REFUSAL);
            refusal = response;
        } else {
            listener.head(response);
        }
    }

    private void sendBody() {
        Channel current = channel;
        if (current == null) {
            return;
        }
        sent = true;
        listener.sending();
        if (body.isReadable()) {
            var unused = current.write(new DefaultHttpContent(body.retainedDuplicate()));
        }
        var unused = current.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    void received(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (ended) {
            content.release();
            return;
        }
        if (skippingContinue) {
            content.release();
            skippingContinue = !last;
            return;
        }
        if (refusal != null) {
            collectRefusal(content);
        } else if (content.content().isReadable()) {
            listener.content(content.content());
        } else {
            content.release();
        }
        if (last) {
            complete();
        }
    }

    private void collectRefusal(HttpContent content) {
        CompositeByteBuf collected = refusalBody;
        if (collected == null) {
            collected = content.content().alloc().compositeBuffer();
            refusalBody = collected;
        }
        collected.addComponent(true, content.content());
        if (collected.readableBytes() > MAX_REFUSAL_BYTES) {
            reusable = false;
            connectionLost(EndEvidence.MALFORMED, "the router sent a refusal that is too long");
        }
    }

    private void complete() {
        HttpResponse refusalHead = refusal;
        CompositeByteBuf collected = refusalBody;
        refusalBody = null;
        if (!end()) {
            return;
        }
        if (refusalHead != null && collected != null) {
            listener.refused(refusalHead, collected);
        } else {
            listener.completed(framing);
        }
    }

    void readComplete() {
        if (!ended) {
            listener.readComplete();
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        body.release();
        if (refusalBody != null) {
            refusalBody.release();
            refusalBody = null;
        }
        whenEnded.run();
        return true;
    }
}
