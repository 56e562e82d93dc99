package org.radishpass.runtime.metrics;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import reactor.netty.http.client.HttpClient;

/**
 * A Netty handler that counts the bytes sent and received on a connection.
 *
 * @since 0.1.0
 */
public final class CountingHandler extends ChannelDuplexHandler {
    private static final String HANDLER_NAME = "radishpass-bytes";

    private final String kind;
    private final TrafficMeter meter;

    private CountingHandler(String kind, TrafficMeter meter) {
        this.kind = kind;
        this.meter = meter;
    }

    /**
     * Returns a client that counts the bytes on all its connections.
     *
     * @param client the client to derive from
     * @param kind the kind of traffic under which the bytes are counted
     * @param meter the meter that counts the bytes
     */
    public static HttpClient countingClient(HttpClient client, String kind, TrafficMeter meter) {
        return client.doOnChannelInit((observer, channel, address) ->
                channel.pipeline().addFirst(HANDLER_NAME, new CountingHandler(kind, meter)));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            meter.received(kind, bytes.readableBytes());
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof ByteBuf bytes) {
            meter.sent(kind, bytes.readableBytes());
        }
        super.write(context, message, promise);
    }
}
