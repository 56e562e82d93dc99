package org.radishpass.routing.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The socket that callers connect to, opened before anything else in the process.
 *
 * <p>From then on the kernel takes connections, and callers wait for the fraction of a second until the router serves
 * them. Without it they would be turned away meanwhile, and many ask only once more.
 *
 * @since 0.2.0
 */
public final class CallerSocket {
    /** Connections that may wait to be accepted: more than all callers of one entry VM. */
    private static final int BACKLOG = 1_024;

    private final ServerSocketChannel channel;

    private CallerSocket(ServerSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens the socket.
     *
     * @param address where callers connect
     * @throws IOException if it cannot be opened
     */
    public static CallerSocket open(InetSocketAddress address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        return new CallerSocket(channel);
    }

    /**
     * Returns the port that callers connect to.
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
