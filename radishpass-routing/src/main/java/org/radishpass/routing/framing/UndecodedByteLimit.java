package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection that sends more bytes than a decoder may need for its next message, after it has reported a {@link
 * TooLongFrameException}. A decoder of HTTP skips line ends before a message without a limit of its own.
 *
 * @since 0.13.0
 */
public final class UndecodedByteLimit extends ChannelInboundHandlerAdapter {
    private final long maxBytes;
    private long undecodedBytes;
    private boolean exceeded;

    private UndecodedByteLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds a decoder and the limit on its input to a pipeline.
     *
     * @param pipeline the pipeline
     * @param decoder the decoder
     * @param maxBytes the bytes that the decoder may take without a message
     */
    public static void addDecoder(ChannelPipeline pipeline, ChannelHandler decoder, long maxBytes) {
        UndecodedByteLimit limit = new UndecodedByteLimit(maxBytes);
        pipeline.addLast(limit).addLast(decoder).addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                limit.undecodedBytes = 0;
                ctx.fireChannelRead(message);
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (exceeded) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof ByteBuf bytes) {
            undecodedBytes += bytes.readableBytes();
        }
        ctx.fireChannelRead(message);
        if (undecodedBytes > maxBytes) {
            exceeded = true;
            ctx.fireExceptionCaught(new TooLongFrameException("no message within " + maxBytes + " bytes"));
            var unused = ctx.close();
        }
    }
}
