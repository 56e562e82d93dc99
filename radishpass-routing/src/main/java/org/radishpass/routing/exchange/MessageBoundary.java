package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.framing.StrictResponseDecoder;

/**
 * Keeps bytes from the decoder of a connection while no request is in flight, and closes the connection because of them:
 * they are no response to a later request. It stands before the decoder.
 *
 * @since 0.16.0
 */
public final class MessageBoundary extends ChannelInboundHandlerAdapter {
    /**
     * Receives what happens at the boundary of a connection.
     *
     * @since 0.16.0
     */
    public interface Listener {
        /**
         * Bytes have arrived that belong to no request. Called at most once; the connection is closed afterwards.
         *
         * @param phase when they arrived
         * @param bytes how many of them
         * @param description what they begin with, without content
         */
        void unsolicited(ArrivalPhase phase, int bytes, String description);

        /**
         * The read that held the end of a response is over. Called once for each {@link MessageBoundary#responseEnded()}.
         * The next request may be sent from within if there was no surplus and the connection is still open; after a
         * close-delimited response it has been closed.
         *
         * @param surplus what followed the response
         */
        void readEnded(Surplus surplus);
    }

    private enum State {
        CLOSED,
        OPEN,
        ENDING
    }

    private final StrictResponseDecoder decoder;
    private @Nullable Listener listener;
    private State state = State.CLOSED;
    private SurplusScan surplus = new SurplusScan();
    private boolean reported;

    /**
     * Creates a boundary before a decoder.
     *
     * @param decoder the decoder, which decodes nothing outside of requests from now on
     */
    public MessageBoundary(StrictResponseDecoder decoder) {
        this.decoder = decoder;
        decoder.pause();
    }

    /** Returns the boundary of a connection. */
    public static MessageBoundary of(ChannelPipeline pipeline) {
        MessageBoundary boundary = pipeline.get(MessageBoundary.class);
        if (boundary == null) {
            throw new IllegalStateException("no boundary in " + pipeline.names());
        }
        return boundary;
    }

    /** Sets who is told. */
    public void listener(Listener receiver) {
        listener = receiver;
    }

    /**
     * Lets bytes pass from now on. To be called before the request is written.
     *
     * @param method the method of the request
     */
    public void requestSent(HttpMethod method) {
        if (state != State.CLOSED) {
            throw new IllegalStateException("request on a connection whose last response is not over");
        }
        state = State.OPEN;
        decoder.requestMethod(method);
    }

    /** Lets no byte pass any more. To be called from within the handling of the response's last content. */
    public void responseEnded() {
        if (state == State.OPEN) {
            state = State.ENDING;
            surplus = new SurplusScan();
            decoder.pause();
            if (!decoder.betweenMessages()) {
                surplus.inDoubt();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf bytes) || !bytes.isReadable()) {
            ReferenceCountUtil.release(message);
            return;
        }
        switch (state) {
            case OPEN -> {
                ctx.fireChannelRead(bytes);
                scanUndecoded();
            }
            case ENDING -> {
                surplus.accept(bytes);
                bytes.release();
            }
            case CLOSED -> unsolicited(ctx, bytes);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        finish(ctx);
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ctx.fireChannelInactive();
        finish(ctx); // the close itself may have ended a response
    }

    private void scanUndecoded() {
        if (state == State.ENDING) {
            surplus.accept(decoder.undecoded());
        }
    }

    /**
     * Ends a response at the end of the read loop rather than of the buffer that held its last byte: a response that
     * fills its buffer leaves what follows it to the next one.
     */
    private void finish(ChannelHandlerContext ctx) {
        if (state != State.ENDING) {
            return;
        }
        state = State.CLOSED;
        SurplusScan found = surplus;
        if (found.kind() != Surplus.NONE) {
            report(ArrivalPhase.AFTER_RESPONSE, found);
        }
        if (listener != null) {
            listener.readEnded(found.kind());
        }
        if (found.kind() != Surplus.NONE) {
            var unused = ctx.close();
        }
    }

    private void unsolicited(ChannelHandlerContext ctx, ByteBuf bytes) {
        SurplusScan found = new SurplusScan();
        found.accept(bytes);
        bytes.release();
        report(ArrivalPhase.IDLE, found);
        var unused = ctx.close();
    }

    private void report(ArrivalPhase phase, SurplusScan found) {
        if (!reported && listener != null) {
            listener.unsolicited(phase, found.bytes(), found.description());
        }
        reported = true;
    }
}
