package org.radishpass.routing.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.exchange.ArrivalPhase;
import org.radishpass.routing.exchange.MessageBoundary;
import org.radishpass.routing.exchange.Surplus;
import org.radishpass.routing.framing.EndEvidence;

/**
 * A connection to another router that carries one relayed request at a time. Bytes that belong to no response close it,
 * and a malformed one ends its request.
 */
final class RelayConnection extends ChannelInboundHandlerAdapter implements MessageBoundary.Listener {
    /**
     * The time until the other router must have asked for the body of a request, in milliseconds: many round trips. A router
     * that is suspended or overloaded takes longer, and another one is tried.
     */
    private static final int CONTINUE_TIMEOUT_MILLIS = 300;

    private final Channel channel;
    private final MessageBoundary boundary;
    private final Consumer<RelayConnection> whenIdle;
    private @Nullable RelayCall call;

    /**
     * Creates a connection without a request.
     *
     * @param channel the connected channel, with a {@link MessageBoundary}
     * @param whenIdle called when another request can be sent on the connection
     */
    RelayConnection(Channel channel, Consumer<RelayConnection> whenIdle) {
        this.channel = channel;
        this.boundary = MessageBoundary.of(channel.pipeline());
        this.whenIdle = whenIdle;
        boundary.listener(this);
    }

    boolean open() {
        return channel.isActive();
    }

    void close() {
        var unused = channel.close();
    }

    /** Sends a request. The connection must be idle. */
    void send(RelayCall next) {
        call = next;
        channel.config().setAutoRead(true);
        boundary.requestSent(next.method());
        next.begin(channel);
        var unused = channel.eventLoop()
                .schedule(
                        () -> {
                            if (next.awaitsContinue()) {
                                next.notRead("the router did not ask for the request within " + CONTINUE_TIMEOUT_MILLIS
                                        + " ms");
                                close();
                            }
                        },
                        CONTINUE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        RelayCall current = call;
        if (current == null || current.ended()) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (((HttpObject) message).decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            current.connectionLost(EndEvidence.MALFORMED, "malformed response of the router");
            close();
            return;
        }
        if (message instanceof HttpResponse response) {
            current.received(response);
        }
        if (message instanceof HttpContent content) {
            current.received(content);
        }
        if (current.ended()) {
            finished(current);
        }
    }

    private void finished(RelayCall ended) {
        call = null;
        if (ended.connectionReusable() && open()) {
            channel.config().setAutoRead(true);
            boundary.responseEnded();
        } else {
            close();
        }
    }

    @Override
    public void unsolicited(ArrivalPhase phase, int bytes, String description) {
        // the boundary closes the connection
    }

    /** Hands the connection back only now: bytes behind a response, in the same read, would meet the next request. */
    @Override
    public void readEnded(Surplus surplus) {
        if (surplus == Surplus.NONE && open()) {
            whenIdle.accept(this);
        } else {
            close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (call != null) {
            call.readComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        lost(EndEvidence.CONNECTION_ENDED_EARLY, "the router closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        EndEvidence evidence = cause instanceof DecoderException ? EndEvidence.MALFORMED : EndEvidence.CONNECTION_LOST;
        lost(evidence, "the connection to the router failed: " + cause.getMessage());
        close();
    }

    private void lost(EndEvidence evidence, String cause) {
        RelayCall current = call;
        call = null;
        if (current != null) {
            current.connectionLost(evidence, cause);
        }
    }
}
