package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.framing.BegunResponse;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ContinuationDecision;
import org.radishpass.routing.framing.EventPosition;
import org.radishpass.routing.framing.EventStreamSplitter;
import org.radishpass.routing.framing.HoldPolicy;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * Relays the response of an endpoint to the caller. Only the hop-by-hop headers and the framing are changed.
 *
 * <p>A short response is buffered until it is complete, and the head of a stream is sent together with its first event.
 * Until then the request can still be retried at another endpoint when the attempt fails.
 */
final class ResponseRelay {
    /** Size in bytes up to which a response is buffered until it is complete. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    private static final ContinuationDecision FOREIGN_EVENT =
            new ContinuationDecision.Rejected("an event without an id does not continue a stream of events with ids");

    private final CallerConnection caller;
    private final RequestKind kind;
    private final @Nullable EventStreamSplitter events;
    private @Nullable HttpResponse head;
    private @Nullable BegunResponse begun;
    private @Nullable CompositeByteBuf buffered;
    private boolean started;
    private boolean forwarded;
    private boolean chunked;
    private long bodyBytes;

    ResponseRelay(CallerConnection caller, RequestKind kind) {
        this.caller = caller;
        this.kind = kind;
        this.events = kind.streams() ? new EventStreamSplitter(holdPolicy(kind)) : null;
    }

    /** Tells whether any part of the response has been sent to the caller. */
    boolean started() {
        return started;
    }

    /** Tells whether any part of the response to the current attempt has been sent to the caller. */
    boolean forwarded() {
        return forwarded;
    }

    /**
     * Returns the id of the last event that was sent to the caller, or empty if the stream cannot be resumed at another
     * endpoint.
     */
    Optional<String> lastEventId() {
        return kind.resumes() && events != null ? Optional.ofNullable(events.lastId()) : Optional.empty();
    }

    /** Tells whether another attempt can continue the response after what has been sent to the caller. */
    boolean continuable() {
        return !started || (kind.resumes() && successful() && events != null && events.resumable());
    }

    /**
     * Takes the head of a response. If the caller has been sent the beginning of an earlier one, only a response that
     * continues it is accepted, and its head is not sent.
     *
     * @return whether the body of the response may be relayed
     */
    ContinuationDecision relayHead(HttpResponse response) {
        if (started && begun != null) {
            return begun.judge(response);
        }
        DefaultHttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        copy.headers().set(response.headers());
        HopByHop.strip(copy.headers());
        chunked = kind.streams() || !HttpUtil.isContentLengthSet(response);
        if (chunked) {
            copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        head = copy;
        begun = BegunResponse.of(response);
        return ContinuationDecision.ACCEPTED;
    }

    /**
     * Relays a part of the body and releases it.
     *
     * @return whether the rest of the body may be relayed
     */
    ContinuationDecision relayContent(ByteBuf part) {
        bodyBytes += part.readableBytes();
        if (events == null || !successful()) {
            buffer(part);
            return ContinuationDecision.ACCEPTED;
        }
        ByteBuf complete = events.append(part, caller.allocator());
        if (complete.isReadable()) {
            forward(complete);
        } else {
            complete.release();
        }
        return events.foreign() ? FOREIGN_EVENT : ContinuationDecision.ACCEPTED;
    }

    /**
     * Returns how a response ended whose HTTP message is complete, or whose connection was closed in order after a
     * close-delimited body.
     *
     * @param framing the framing of the body
     */
    ResponseEnd end(BodyFraming framing) {
        EventPosition position = events != null && successful() ? events.position() : EventPosition.NO_STREAM;
        return ResponseEnd.of(framing, successful(), bodyBytes, position);
    }

    /** Ends the response to the caller. Called only if the response was whole. */
    void complete() {
        start();
        ByteBuf rest = events != null && successful() ? events.takeRest() : Unpooled.EMPTY_BUFFER;
        if (rest.isReadable()) {
            caller.responseContent(rest);
        }
        caller.finishResponse();
    }

    /** Discards everything that has not been sent to the caller. Called when an attempt fails. */
    void discardPending() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        if (events != null) {
            events.discardPartial();
        }
        if (!started) {
            head = null;
            begun = null;
        }
        bodyBytes = 0;
        forwarded = false;
    }

    void flush() {
        caller.flush();
    }

    private static HoldPolicy holdPolicy(RequestKind kind) {
        return kind.resumes() ? HoldPolicy.EACH_EVENT : HoldPolicy.FIRST_EVENT;
    }

    private boolean successful() {
        return begun == null || begun.successful();
    }

    private void buffer(ByteBuf part) {
        if (started) {
            forward(part);
            return;
        }
        if (buffered == null) {
            buffered = caller.allocator().compositeBuffer(Integer.MAX_VALUE >> 1);
        }
        buffered.addComponent(true, part);
        if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
            start();
        }
    }

    private void forward(ByteBuf part) {
        start();
        forwarded = true;
        caller.responseContent(part);
    }

    private void start() {
        if (started || head == null) {
            return;
        }
        started = true;
        caller.startResponse(head);
        if (buffered != null) {
            caller.responseContent(buffered);
            buffered = null;
            forwarded = true;
        }
    }
}
