package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.RequestKind;

/**
 * Passes an endpoint's answer on to the caller, unchanged but for what concerns one connection only.
 *
 * <p>A short answer is kept until it is whole, so that one that breaks off can be replaced. The head of a stream goes out
 * with its first event, so that a run that ends before it can be replaced too.
 */
final class AnswerRelay {
    /** Bytes up to which an answer is kept until it is whole. */
    private static final int KEPT_BYTES = 65_536;

    private final CallerConnection caller;
    private final RequestKind kind;
    private final @Nullable EventFrames frames;
    private @Nullable HttpResponse head;
    private @Nullable CompositeByteBuf kept;
    private boolean started;
    private boolean withoutEnd;

    AnswerRelay(CallerConnection caller, RequestKind kind) {
        this.caller = caller;
        this.kind = kind;
        this.frames = kind.resumes() ? new EventFrames() : null;
    }

    /** Tells whether anything has gone out to the caller. */
    boolean started() {
        return started;
    }

    /** Returns the last event that went out, if the answer can go on after it elsewhere. */
    Optional<String> lastEventId() {
        return frames == null ? Optional.empty() : Optional.ofNullable(frames.lastId());
    }

    /** Takes the head of an answer. While one has gone out already, that of a later run is dropped. */
    void head(HttpResponse response) {
        if (started) {
            return;
        }
        DefaultHttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        copy.headers().set(response.headers());
        HopByHop.strip(copy.headers());
        withoutEnd = kind.streams() || !HttpUtil.isContentLengthSet(response);
        if (withoutEnd) {
            copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        head = copy;
    }

    /** Takes a part of the body and releases it. */
    void content(ByteBuf part) {
        if (frames != null && successful()) {
            ByteBuf whole = frames.take(part, caller.allocator());
            if (whole.isReadable()) {
                pass(whole);
            } else {
                whole.release();
            }
            return;
        }
        if (kind.streams() && successful()) {
            pass(part);
            return;
        }
        keep(part);
    }

    /**
     * Ends the answer.
     *
     * @return whether it was whole; if not, nothing has been ended
     */
    boolean complete() {
        if (frames != null && frames.insideEvent()) {
            return false;
        }
        start();
        caller.finishAnswer();
        return true;
    }

    /** Drops what has not gone out: the run has broken off. */
    void dropPending() {
        if (kept != null) {
            kept.release();
            kept = null;
        }
        if (frames != null) {
            frames.dropPartial();
        }
        if (!started) {
            head = null;
        }
    }

    void flush() {
        caller.flush();
    }

    private boolean successful() {
        return started || head == null || head.status().code() < HttpResponseStatus.BAD_REQUEST.code();
    }

    private void keep(ByteBuf part) {
        if (started) {
            pass(part);
            return;
        }
        if (kept == null) {
            kept = caller.allocator().compositeBuffer(Integer.MAX_VALUE >> 1);
        }
        kept.addComponent(true, part);
        if (kept.readableBytes() > KEPT_BYTES) {
            start();
        }
    }

    private void pass(ByteBuf part) {
        start();
        caller.answerContent(part);
    }

    private void start() {
        if (started || head == null) {
            return;
        }
        started = true;
        caller.startAnswer(head);
        if (kept != null) {
            caller.answerContent(kept);
            kept = null;
        }
    }
}
