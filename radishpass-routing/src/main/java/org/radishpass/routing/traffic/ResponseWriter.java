package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Writes the responses to one caller and closes the connection after the last one. Confined to the traffic event loop.
 */
final class ResponseWriter {
    private final TrafficContext context;
    private @Nullable ChannelHandlerContext channelContext;
    private boolean closeAfterResponse;
    private boolean callerReadsChunks = true;
    private boolean closeDelimited;

    ResponseWriter(TrafficContext context) {
        this.context = context;
    }

    /** Stores the channel context that responses are written to. */
    void handlerAdded(ChannelHandlerContext ctx) {
        this.channelContext = ctx;
    }

    /**
     * Sets whether the connection is closed after the next response, because the caller or the protocol requires it.
     */
    void closeAfterResponse(boolean close) {
        closeAfterResponse = close;
    }

    /** Sets whether the caller reads bodies in chunks, as HTTP/1.1 requires and HTTP/1.0 does not. */
    void callerReadsChunks(boolean reads) {
        callerReadsChunks = reads;
    }

    /**
     * Writes the head of a response whose body follows. If the caller cannot read chunks, a body without a length ends
     * with the connection.
     */
    void start(HttpResponse head) {
        closeDelimited = !callerReadsChunks && HttpUtil.isTransferEncodingChunked(head);
        if (closeDelimited) {
            HttpUtil.setTransferEncodingChunked(head, false);
            closeAfterResponse = true;
        }
        prepare(head);
        var unused = ctx().write(head, ctx().voidPromise());
    }

    /** Writes a part of the body and releases it. */
    void content(ByteBuf part) {
        var unused = ctx().write(new DefaultHttpContent(part), ctx().voidPromise());
    }

    /**
     * Ends the response whose head was written.
     *
     * @return whether the connection stays open
     */
    boolean finish() {
        return closeIfRequested(ctx().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /**
     * Closes the connection in the middle of a response. If the body ends with the connection, resets the connection,
     * since a regular close would end the body.
     */
    void abort() {
        ctx().flush();
        if (closeDelimited) {
            ctx().channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        var unused = ctx().close();
    }

    /**
     * Writes a complete response that the router itself creates.
     *
     * @param status the status
     * @param body the body, which is released
     * @param retryAfter the value of the Retry-After header, or null for no such header
     * @param relayHeaders adds the headers for a router that relayed the request
     * @return whether the connection stays open
     */
    boolean writeComplete(
            HttpResponseStatus status, ByteBuf body, @Nullable String retryAfter, Consumer<HttpHeaders> relayHeaders) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfter != null) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
        }
        relayHeaders.accept(response.headers());
        prepare(response);
        return closeIfRequested(ctx().writeAndFlush(response));
    }

    private boolean closeIfRequested(ChannelFuture written) {
        if (closeAfterResponse) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        return !closeAfterResponse;
    }

    private void prepare(HttpResponse head) {
        if (context.gracefulStop().begun()) {
            closeAfterResponse = true;
        }
        if (closeAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private ChannelHandlerContext ctx() {
        return Objects.requireNonNull(channelContext, "not yet added to a channel");
    }
}
