package org.radishpass.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes one response for each request. The end of a response is passed on when the read that held it is over, so that
 * a connection is not used again before it is known whether other bytes followed.
 */
final class BoundedResponseDecoder extends HttpResponseDecoder {
    private static final Logger LOG = LoggerFactory.getLogger(BoundedResponseDecoder.class);

    /** A status line; inside a header it shows that the response broke off there and another one began. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private enum State {
        /** No request is outstanding. */
        IDLE,
        /** A request is outstanding. */
        AWAITING,
        /** The response has ended, but the read that held its end is not over. */
        ENDED
    }

    private State state = State.IDLE;
    private boolean bodyless;
    private boolean informational;
    private int surplusBytes;
    private @Nullable LastHttpContent end;

    /** Decodes the response to a request from now on; {@code head} tells whether its method is HEAD. */
    void requestSent(boolean head) {
        state = State.AWAITING;
        bodyless = head;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (state == State.AWAITING) {
            super.channelRead(ctx, message);
            return;
        }
        int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (state == State.ENDED) {
            surplusBytes += bytes;
        } else if (bytes > 0) {
            closeBecauseOf(ctx, bytes);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        LastHttpContent ended = takeEnd();
        if (ended != null) {
            if (surplusBytes > 0) {
                closeBecauseOf(ctx, surplusBytes);
            }
            ctx.fireChannelRead(ended);
        }
        super.channelReadComplete(ctx);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (state != State.AWAITING) {
            surplusBytes += buffer.readableBytes();
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int first = out.size();
        super.decode(ctx, buffer, out);
        for (Object message : out.subList(first, out.size())) {
            String defect = defect((HttpObject) message);
            if (defect != null) {
                removeFrom(out, first);
                buffer.skipBytes(buffer.readableBytes());
                reject(ctx, defect);
                return;
            }
        }
        holdEnd(out);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        super.decodeLast(ctx, buffer, out);
        LastHttpContent ended = takeEnd();
        if (ended != null) {
            out.add(ended);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodyless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
        ReferenceCountUtil.release(takeEnd());
        super.handlerRemoved0(ctx);
    }

    private static @Nullable String defect(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            return String.valueOf(message.decoderResult().cause());
        }
        if (!(message instanceof HttpResponse response)) {
            return null;
        }
        if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
            return "a status line inside the status line";
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (STATUS_LINE.matcher(header.getValue()).find()) {
                return "a status line inside the header " + header.getKey();
            }
        }
        return null;
    }

    private void holdEnd(List<Object> out) {
        for (Object message : out) {
            if (message instanceof HttpResponse response) {
                informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
        }
        int last = out.size() - 1;
        if (!informational && last >= 0 && out.get(last) instanceof LastHttpContent ended) {
            out.remove(last);
            end = ended;
            surplusBytes = 0;
            state = State.ENDED;
        }
    }

    private @Nullable LastHttpContent takeEnd() {
        LastHttpContent ended = end;
        if (ended != null) {
            end = null;
            state = State.IDLE;
        }
        return ended;
    }

    private static void removeFrom(List<Object> out, int first) {
        while (out.size() > first) {
            ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
    }

    /** Closes the connection before the request fails, so that the pool does not hand it out again. */
    private void reject(ChannelHandlerContext ctx, String defect) {
        state = State.IDLE;
        var unused = ctx.close();
        ctx.fireExceptionCaught(new DecoderException("malformed response: " + defect));
    }

    private static void closeBecauseOf(ChannelHandlerContext ctx, int bytes) {
        if (ctx.channel().isActive()) {
            LOG.warn(
                    "received {} bytes outside a response from {}; closing the connection",
                    bytes,
                    ctx.channel().remoteAddress());
            var unused = ctx.close();
        }
    }
}
