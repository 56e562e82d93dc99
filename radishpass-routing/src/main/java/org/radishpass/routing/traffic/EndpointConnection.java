package org.radishpass.routing.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import org.radishpass.routing.connection.CarriedRequests;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.connection.IdlePeriod;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.exchange.ArrivalPhase;
import org.radishpass.routing.exchange.MessageBoundary;
import org.radishpass.routing.exchange.ResponseListener;
import org.radishpass.routing.exchange.ResponseReader;
import org.radishpass.routing.exchange.Surplus;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.framing.EndEvidence;
import org.radishpass.routing.framing.MalformedResponseException;

/**
 * A connection to an endpoint. One request is in flight at a time.
 *
 * <p>Bytes that arrive while no request is in flight close the connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter
        implements MessageBoundary.Listener, ResponseReader.Owner {
    private final EndpointPool pool;
    private final Channel channel;
    private final ResponseReader reader;
    private final long establishedAtMillis;
    private boolean usedBefore;
    private boolean bytesReceived;
    private boolean reading;
    private boolean resetByCap;
    private int requests;
    private ConnectionUse use = ConnectionUse.NONE;
    private final CarriedRequests carried = new CarriedRequests();
    private final IdlePeriod idlePeriod = new IdlePeriod();

    EndpointConnection(EndpointPool pool, Channel channel) {
        this.pool = pool;
        this.channel = channel;
        MessageBoundary boundary = MessageBoundary.of(channel.pipeline());
        boundary.listener(this);
        this.reader = new ResponseReader(pool.dialect(), boundary, this);
        this.establishedAtMillis = pool.nowMillis();
    }

    ServiceEndpoint endpoint() {
        return pool.endpoint();
    }

    boolean open() {
        return channel.isActive();
    }

    /**
     * Tells whether the connection is open, by reading from the socket now. The event loop otherwise detects a close or
     * a reset only in its next iteration, and the request would be lost with the connection.
     */
    boolean confirmOpen() {
        if (!reading && channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    /**
     * Tells whether the endpoint has reset the connection most likely because it held as many connections as it
     * accepts. That is not a failure of the endpoint.
     */
    boolean resetByCap() {
        return resetByCap;
    }

    /** Tells whether the idle connection can carry another request. */
    boolean reusable(long nowMillis) {
        return channel.isActive() && idlePeriod.usable(nowMillis);
    }

    /** Returns when the connection was last known to work, on the monotonic clock in milliseconds. */
    long usedAtMillis() {
        return idlePeriod.usedAtMillis();
    }

    /**
     * Tells whether a complete request and response have been exchanged on the connection. The endpoint may have closed
     * the connection since.
     */
    boolean usedBefore() {
        return usedBefore;
    }

    /** Tells whether a response to an earlier request on the connection could be taken for that to this one. */
    boolean carried(String requestId) {
        return carried.mayBeConfused(requestId);
    }

    /** Begins the use of the connection for the request that is sent next, and returns it. */
    ConnectionUse nextUse() {
        requests++;
        use = new ConnectionUse(requests, requests == 1 ? 0 : pool.nowMillis() - idlePeriod.usedAtMillis());
        return use;
    }

    /**
     * Writes a request. From here on the endpoint may run the request.
     *
     * @param permit the permission for this send
     * @param request the request
     * @param id the id of the request
     * @param listener receives the response
     */
    void send(SendPermit permit, FullHttpRequest request, String id, ResponseListener listener) {
        permit.use();
        carried.add(id);
        reader.begin(request.method(), id, use, listener);
        var unused = channel.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                checkReset(future.cause());
                reader.fail(EndEvidence.CONNECTION_LOST, "write failed: " + future.cause());
            }
        });
    }

    /** Enables or disables reading of the response. */
    void autoRead(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Returns the connection to the pool. Called when nothing was sent on the connection. */
    void release() {
        if (!usedBefore) {
            // a new connection is known to work; a reused one may have been closed meanwhile
            idlePeriod.begin(pool.nowMillis());
        }
        pool.release(this);
    }

    /** Closes the connection without notifying the listener of the request on it. */
    @Override
    public void close() {
        reader.stop();
        var unused = channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!reading) {
            reading = true;
            pool.bytesReceived();
        }
        if (!bytesReceived) {
            bytesReceived = true;
            pool.accepted();
        }
        if (reader.active()) {
            reader.read((HttpObject) message);
        } else {
            ReferenceCountUtil.release(message);
            close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        reader.readComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.connectionClosed(this);
        reader.connectionClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        checkReset(cause);
        if (cause instanceof MalformedResponseException malformed) {
            reader.malformed(malformed.defect().text());
            return;
        }
        EndEvidence evidence =
                cause instanceof TooLongFrameException ? EndEvidence.MALFORMED : EndEvidence.CONNECTION_LOST;
        reader.fail(evidence, "connection failed: " + cause.getMessage());
    }

    private void checkReset(Throwable cause) {
        if (channel.isOpen() && !resetByCap && ConnectFailure.isReset(cause)) {
            resetByCap = pool.resetByCap(!bytesReceived, establishedAtMillis);
        }
    }

    @Override
    public void unsolicited(ArrivalPhase phase, int bytes, String description) {
        pool.unsolicited(phase, use, bytes + " bytes, " + description);
    }

    @Override
    public void readEnded(Surplus surplus) {
        reader.readEnded(surplus);
    }

    @Override
    public void headReceived(ResponseHead head) {
        pool.headReceived(head);
    }

    @Override
    public void otherResponse(String requestId, ResponseHead head) {
        pool.unmatchedResponse(use, requestId, head);
    }

    @Override
    public void headRejected(String reason, String requestId) {
        pool.headRejected(reason, use, requestId);
    }

    @Override
    public void reusable(ResponseHead head) {
        usedBefore = true;
        idlePeriod.announced(head.keepAliveMillis());
        idlePeriod.begin(pool.nowMillis());
        channel.config().setAutoRead(true);
        pool.release(this);
    }
}
