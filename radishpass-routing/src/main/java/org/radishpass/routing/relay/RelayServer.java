package org.radishpass.routing.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Serves the requests that other routers relay to this one. Confined to the traffic event loop, apart from {@link #bind}.
 *
 * @since 0.9.0
 */
public final class RelayServer {
    private static final int MAX_INITIAL_LINE = 8_192;
    private static final int MAX_CHUNK = 65_536;

    /** The room in a head for the headers that the relaying router adds, in bytes. */
    private static final int ADDED_HEADER_BYTES = 2_048;

    private final EventLoop loop;
    private final RelayGate gate;
    private final Supplier<ChannelHandler> requestHandlers;
    private final IntSupplier maxHeaderBytes;
    private @Nullable Channel listening;

    RelayServer(EventLoop loop, RelayGate gate, Supplier<ChannelHandler> requestHandlers, IntSupplier maxHeaderBytes) {
        this.loop = loop;
        this.gate = gate;
        this.requestHandlers = requestHandlers;
        this.maxHeaderBytes = maxHeaderBytes;
    }

    /**
     * Starts to listen.
     *
     * @param address the address for other routers
     * @return the listening channel, once it is bound
     */
    public CompletableFuture<Channel> bind(InetSocketAddress address) {
        CompletableFuture<Channel> bound = new CompletableFuture<>();
        ChannelFuture binding = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        MAX_INITIAL_LINE, maxHeaderBytes.getAsInt() + ADDED_HEADER_BYTES, MAX_CHUNK))
                                .addLast(new RelayServerHandler(gate))
                                .addLast(requestHandlers.get());
                    }
                })
                .bind(address);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                listening = binding.channel();
                bound.complete(binding.channel());
            } else {
                bound.completeExceptionally(done.cause());
            }
        });
        return bound;
    }

    /** Stops to accept connections. */
    public void close() {
        if (listening != null) {
            var unused = listening.close();
        }
    }
}
