package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.AnswerHead;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * One connection to an endpoint, which carries one request at a time.
 *
 * <p>Bytes that come while no request is waiting, and answers to other requests, belong to nobody: the first end the
 * connection, the second are skipped.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Milliseconds before the announced end of an idle connection from which it is not used any more. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    /** How long an idle connection is kept where the endpoint does not say, in milliseconds. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    private final EndpointPool pool;
    private final Channel channel;
    private @Nullable AnswerListener listener;
    private String requestId = "";
    private boolean usedBefore;
    private boolean headSeen;
    private boolean skipping;
    private boolean closing;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long usableUntilMillis;
    private long usedAtMillis;

    EndpointConnection(EndpointPool pool, Channel channel) {
        this.pool = pool;
        this.channel = channel;
    }

    ServiceEndpoint endpoint() {
        return pool.endpoint();
    }

    boolean open() {
        return channel.isActive();
    }

    /** Tells whether an idle connection can carry another request. */
    boolean reusable(long nowMillis) {
        return channel.isActive() && nowMillis < usableUntilMillis;
    }

    /** Returns when it was last seen to work, on the monotonic clock in milliseconds. */
    long usedAtMillis() {
        return usedAtMillis;
    }

    /** Tells whether it has carried a whole request and answer: its other end may have closed it since. */
    boolean usedBefore() {
        return usedBefore;
    }

    /** Writes a request. From here on it may run. */
    void send(FullHttpRequest request, String id, AnswerListener answerListener) {
        this.listener = answerListener;
        this.requestId = id;
        this.headSeen = false;
        this.skipping = false;
        this.closing = false;
        var unused = channel.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                fail("write failed: " + future.cause());
            }
        });
    }

    /** Lets more of the answer come, or holds it back. */
    void reading(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    /** Gives back a connection on which nothing was sent. */
    void release() {
        if (!usedBefore) {
            becomesIdle(); // that it was made just now is the proof that it works; one that was kept has given none
            // since
        }
        pool.idle(this);
    }

    /** Ends the connection; the request on it, if any, hears nothing more. */
    void close() {
        listener = null;
        var unused = channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        pool.heard();
        if (listener == null) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (((HttpObject) message).decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail("malformed answer: " + ((HttpObject) message).decoderResult().cause());
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
        if (listener != null) {
            listener.pause();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("connection failed: " + cause.getMessage());
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        AnswerHead head = pool.dialect().decodeAnswer(response);
        pool.answered(head);
        if (!head.answers(requestId)) {
            pool.foreignAnswer(requestId, head);
            skipping = true;
            return;
        }
        if (head.unprovenSuccess()) {
            fail("a success without the endpoint's signature");
            return;
        }
        headSeen = true;
        skipping = false;
        closing = head.closing();
        keepAliveMillis = head.keepAliveMillis().orElse(DEFAULT_KEEP_ALIVE_MILLIS);
        AnswerListener current = listener;
        if (current != null) {
            current.head(response, head);
        }
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        AnswerListener current = listener;
        if (skipping || !headSeen || current == null) {
            content.release();
            skipping = skipping && !last;
            return;
        }
        ByteBuf part = content.content();
        if (part.isReadable()) {
            current.content(part);
        } else {
            content.release();
        }
        if (last && listener != null) {
            complete();
        }
    }

    private void complete() {
        AnswerListener done = listener;
        listener = null;
        usedBefore = true;
        becomesIdle();
        channel.config().setAutoRead(true);
        if (closing) {
            var unused = channel.close();
        } else {
            pool.idle(this);
        }
        if (done != null) {
            done.completed();
        }
    }

    private void becomesIdle() {
        usedAtMillis = pool.nowMillis();
        usableUntilMillis = usedAtMillis + Math.max(0, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    }

    private void fail(String cause) {
        AnswerListener failed = listener;
        listener = null;
        var unused = channel.close();
        if (failed != null) {
            failed.broken(cause);
        }
    }
}
