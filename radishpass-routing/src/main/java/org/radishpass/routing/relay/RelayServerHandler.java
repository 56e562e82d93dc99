package org.radishpass.routing.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one connection from another router: checks the sender, turns the heads of requests into {@link RelayedRequest},
 * and marks the responses that this router gives itself. A rejected request has not been read and the connection closes.
 */
final class RelayServerHandler extends ChannelDuplexHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RelayServerHandler.class);

    /** The time after which a router may ask again if there is no room, in seconds. */
    private static final String NO_ROOM_RETRY_AFTER = "0.50";

    private final RelayGate gate;
    private RelayGate.@Nullable Reservation reservation;
    private @Nullable String call;
    private boolean responding;
    private boolean rejected;

    RelayServerHandler(RelayGate gate) {
        this.gate = gate;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (rejected) {
            ReferenceCountUtil.release(message);
            return;
        }
        boolean readable =
                message instanceof HttpRequest head && head.decoderResult().isSuccess();
        if (readable) {
            accept(ctx, (HttpRequest) message);
        } else {
            ctx.fireChannelRead(message);
        }
    }

    private void accept(ChannelHandlerContext ctx, HttpRequest request) {
        if (responding) {
            LOG.warn(
                    "router {} sent a request before the response to the last one; closing the connection",
                    ctx.channel().remoteAddress());
            rejected = true;
            ReferenceCountUtil.release(request);
            var unused = ctx.close();
            return;
        }
        responding = true;
        call = request.headers().get(RelayHeaders.CALL);
        if (!gate.listed(host(ctx.channel().remoteAddress()))) {
            reject(ctx, request, RelayGate.Rejection.UNKNOWN_SENDER, HttpResponseStatus.FORBIDDEN);
            return;
        }
        RelayTerms terms;
        try {
            terms = RelayHeaders.decode(request.headers());
        } catch (MalformedRelayException e) {
            LOG.warn(
                    "router {} relayed a request that cannot be read: {}; rejecting it and closing the connection",
                    ctx.channel().remoteAddress(),
                    e.getMessage());
            reject(ctx, request, RelayGate.Rejection.MALFORMED, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        Optional<RelayGate.Reservation> reserved = gate.reserve(terms.bodyBytes());
        if (reserved.isEmpty()) {
            reject(ctx, request, RelayGate.Rejection.NO_ROOM, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        reservation = reserved.get();
        ctx.fireChannelRead(new RelayedRequest(request, terms));
    }

    private void reject(
            ChannelHandlerContext ctx, HttpRequest request, RelayGate.Rejection reason, HttpResponseStatus status) {
        rejected = true;
        gate.rejected(reason);
        ReferenceCountUtil.release(request);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(ctx.alloc(), "rejected: " + reason));
        nameCall(response);
        response.headers()
                .set(RelayHeaders.REFUSAL, reason.name())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (reason == RelayGate.Rejection.NO_ROOM) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, NO_ROOM_RETRY_AFTER);
        }
        var unused = ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        boolean informational =
                message instanceof FullHttpResponse full && full.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (message instanceof FullHttpResponse refusal && !informational) {
            refusal.headers().set(RelayHeaders.REFUSAL, refusal.status().codeAsText());
            RelayHeaders.encodeNoEndpointSends(refusal.headers());
        }
        if (message instanceof HttpResponse response) {
            nameCall(response);
        }
        if (message instanceof LastHttpContent && !informational) {
            responding = false;
            release();
        }
        var unused = ctx.write(message, promise);
    }

    /** Names the request that a response answers, if its sender did. */
    private void nameCall(HttpResponse response) {
        if (call != null) {
            response.headers().set(RelayHeaders.CALL, call);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }

    private void release() {
        RelayGate.Reservation current = reservation;
        reservation = null;
        if (current != null) {
            current.release();
        }
    }

    private static String host(SocketAddress address) {
        return address instanceof InetSocketAddress inet ? inet.getAddress().getHostAddress() : "";
    }
}
