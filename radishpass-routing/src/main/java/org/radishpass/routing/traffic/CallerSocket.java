package org.radishpass.routing.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket for callers, opened before anything else in the process.
 *
 * <p>From then on the kernel accepts connections, and callers wait for the fraction of a second until the router serves
 * them. Without it their connections would be refused, and many callers retry only once.
 *
 * @since 0.2.0
 */
public final class CallerSocket {
    /** Maximum number of connections waiting to be accepted; larger than the number of all callers of one entry VM. */
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private CallerSocket(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens the socket.
     *
     * @param address the address to listen on
     * @throws IOException if the socket cannot be opened
     */
    public static CallerSocket open(InetSocketAddress address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        return new CallerSocket(channel);
    }

    /**
     * Returns the port that the socket listens on.
     *
     * @throws IOException if the socket is closed
     */
    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    ServerSocketChannel channel() {
        return channel;
    }
}
