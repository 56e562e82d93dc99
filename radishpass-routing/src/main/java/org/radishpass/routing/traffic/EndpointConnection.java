package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.connection.ArrivalPhase;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.connection.IdlePeriod;
import org.radishpass.routing.connection.SkippedResponses;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.EndEvidence;
import org.radishpass.routing.framing.ResponseEnd;

/**
 * A connection to an endpoint. One request is in flight at a time.
 *
 * <p>Bytes that arrive while no request is in flight close the connection. A response with the id of another request is
 * skipped.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private final EndpointPool pool;
    private final Channel channel;
    private @Nullable ResponseListener listener;
    private String requestId = "";
    private HttpMethod method = HttpMethod.GET;
    private BodyFraming framing = BodyFraming.NONE;
    private final long establishedAtMillis;
    private boolean usedBefore;
    private boolean bytesReceived;
    private boolean reading;
    private boolean resetByCap;
    private boolean headReceived;
    private boolean closeAfterResponse;
    private int requests;
    private ConnectionUse use = new ConnectionUse(0, 0);
    private final SkippedResponses skipped = new SkippedResponses();
    private final IdlePeriod idlePeriod = new IdlePeriod();

    EndpointConnection(EndpointPool pool, Channel channel) {
        this.pool = pool;
        this.channel = channel;
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

    /** Begins the use of the connection for the request that is sent next, and returns it. */
    ConnectionUse nextUse() {
        requests++;
        use = new ConnectionUse(requests, requests == 1 ? 0 : pool.nowMillis() - idlePeriod.usedAtMillis());
        return use;
    }

    /** Records bytes that were received, before they are decoded. */
    void bytesReceived(int length) {
        if (listener == null) {
            pool.unsolicited(ArrivalPhase.IDLE, use, length + " bytes");
        }
    }

    /**
     * Writes a request. From here on the endpoint may run the request.
     *
     * @param permit the permission for this send
     * @param request the request
     * @param id the id of the request
     * @param responseListener receives the response
     */
    void send(SendPermit permit, FullHttpRequest request, String id, ResponseListener responseListener) {
        permit.use();
        this.listener = responseListener;
        this.requestId = id;
        this.method = request.method();
        this.framing = BodyFraming.NONE;
        this.headReceived = false;
        this.skipped.reset();
        this.closeAfterResponse = false;
        var unused = channel.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                checkReset(future.cause());
                fail(EndEvidence.CONNECTION_LOST, "write failed: " + future.cause());
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
            idlePeriod.begin(
                    pool.nowMillis()); // a new connection is known to work; a reused one may have been closed meanwhile
        }
        pool.release(this);
    }

    /** Closes the connection without notifying the listener of the request on it. */
    void close() {
        listener = null;
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
        if (listener == null) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (((HttpObject) message).decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            if (!headReceived) {
                pool.headRejected("malformed", use, requestId);
            }
            fail(
                    EndEvidence.MALFORMED,
                    "malformed response: "
                            + ((HttpObject) message).decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            content(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        if (listener != null) {
            listener.readComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.connectionClosed(this);
        fail(EndEvidence.CONNECTION_ENDED_EARLY, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        checkReset(cause);
        EndEvidence evidence =
                cause instanceof TooLongFrameException ? EndEvidence.MALFORMED : EndEvidence.CONNECTION_LOST;
        fail(evidence, "connection failed: " + cause.getMessage());
    }

    private void checkReset(Throwable cause) {
        if (channel.isOpen() && !resetByCap && ConnectFailure.isReset(cause)) {
            resetByCap = pool.resetByCap(!bytesReceived, establishedAtMillis);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse();
            return;
        }
        ResponseHead head = pool.dialect().decodeResponse(response);
        pool.headReceived(head);
        if (!head.matchesRequest(requestId)) {
            pool.unmatchedResponse(use, requestId, head);
            use.responseSkipped();
            skipResponse();
            return;
        }
        if (head.unsignedSuccess()) {
            pool.headRejected("unsigned-success", use, requestId);
            fail(EndEvidence.MALFORMED, "successful response without the signature of the endpoint");
            return;
        }
        headReceived = true;
        framing = BodyFraming.of(method, response);
        closeAfterResponse = head.closing();
        idlePeriod.announced(head.keepAliveMillis());
        ResponseListener activeListener = listener;
        if (activeListener != null) {
            activeListener.head(response, head);
        }
    }

    private void skipResponse() {
        skipped.headSkipped();
        checkSkipped();
    }

    private void checkSkipped() {
        if (skipped.exceeded()) {
            fail(EndEvidence.MALFORMED, "more bytes that are no response to the request than are skipped");
        }
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        ResponseListener activeListener = listener;
        if (skipped.insideResponse() || !headReceived || activeListener == null) {
            skipped.contentSkipped(content.content().readableBytes(), last);
            content.release();
            checkSkipped();
            return;
        }
        ByteBuf part = content.content();
        if (part.isReadable()) {
            activeListener.content(part);
        } else {
            content.release();
        }
        if (last && listener != null) {
            complete();
        }
    }

    private void complete() {
        ResponseListener completedListener = listener;
        listener = null;
        if (closeAfterResponse || !framing.statesEnd()) {
            var unused = channel.close();
        } else {
            returnToPool();
        }
        if (completedListener != null) {
            completedListener.completed(framing);
        }
    }

    private void returnToPool() {
        usedBefore = true;
        idlePeriod.begin(pool.nowMillis());
        channel.config().setAutoRead(true);
        pool.release(this);
    }

    private void fail(EndEvidence evidence, String cause) {
        ResponseListener failedListener = listener;
        listener = null;
        var unused = channel.close();
        if (failedListener != null) {
            failedListener.failed(framing, new ResponseEnd.BrokenOff(evidence, cause));
        }
    }
}
