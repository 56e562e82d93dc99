package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Writes the answers to one caller, and closes the connection after the last one. Belongs to the traffic thread. */
final class AnswerWriter {
    private final TrafficTools tools;
    private @Nullable ChannelHandlerContext context;
    private boolean endsConnection;

    AnswerWriter(TrafficTools tools) {
        this.tools = tools;
    }

    /** Learns where to write. */
    void added(ChannelHandlerContext ctx) {
        this.context = ctx;
    }

    /** Sets whether the connection ends with the answer that comes next, because the caller or the protocol asks for it. */
    void endsConnection(boolean ends) {
        endsConnection = ends;
    }

    /** Writes the head of an answer whose body follows. */
    void start(HttpResponse head) {
        prepare(head);
        var unused = ctx().write(head, ctx().voidPromise());
    }

    /** Writes a part of the body and releases it. */
    void content(ByteBuf part) {
        var unused = ctx().write(new DefaultHttpContent(part), ctx().voidPromise());
    }

    /**
     * Ends the answer whose head was written.
     *
     * @return whether the connection stays open
     */
    boolean finish() {
        return last(ctx().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /**
     * Writes a whole answer of the router's own.
     *
     * @param status its status
     * @param body its body, which is released
     * @param retryAfter when the caller is to come back, or null if that is not said
     * @return whether the connection stays open
     */
    boolean whole(HttpResponseStatus status, ByteBuf body, @Nullable String retryAfter) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfter != null) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
        }
        prepare(response);
        return last(ctx().writeAndFlush(response));
    }

    private boolean last(ChannelFuture written) {
        if (endsConnection) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        return !endsConnection;
    }

    private void prepare(HttpResponse head) {
        if (tools.stopping()) {
            endsConnection = true;
        }
        if (endsConnection) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private ChannelHandlerContext ctx() {
        return Objects.requireNonNull(context, "not yet added to a channel");
    }
}
