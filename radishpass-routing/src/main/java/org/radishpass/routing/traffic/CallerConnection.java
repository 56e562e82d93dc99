package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.MalformedHeadException;

/**
 * One connection from a caller, which has one request in progress at a time; what a caller sends ahead waits.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ArrivalQueue.Arrival {
    /** Messages that a caller may send ahead before its connection is read no further. */
    private static final int MOST_AHEAD = 64;

    private final TrafficTools tools;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private final AnswerWriter answers;
    private @Nullable ChannelHandlerContext context;
    private @Nullable RequestAssembly assembly;
    private @Nullable RequestAssembly whole;
    private @Nullable Exchange exchange;
    private boolean closing;
    private boolean reading;
    private boolean arrivalDue;
    private long quietSinceMillis;

    CallerConnection(TrafficTools tools) {
        this.tools = tools;
        this.answers = new AnswerWriter(tools);
        this.quietSinceMillis = tools.nowMillis();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        this.context = ctx;
        answers.added(ctx);
        tools.callers().add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = true;
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (busy()) {
            ahead.addLast((HttpObject) message);
            ctx.channel().config().setAutoRead(ahead.size() < MOST_AHEAD);
            return;
        }
        accept((HttpObject) message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        if (arrivalDue) {
            arrivalDue = false;
            arrive();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        tools.callers().remove(this);
        Exchange left = exchange;
        exchange = null;
        if (left != null) {
            left.callerLeft();
        }
        dropInput();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.callerWritable(ctx.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        var unused = ctx.close();
    }

    ByteBufAllocator allocator() {
        return ctx().alloc();
    }

    boolean writable() {
        return ctx().channel().isWritable();
    }

    /**
     * Tells whether the caller has left, by a look at its socket now. The traffic thread sees a close only when it comes round to the
     * socket again; in a pass of half a second, as after a start on an eighth of a core, two of three requests were sent on for callers
     * whose close had been lying there since before.
     */
    boolean hasLeft() {
        Channel channel = ctx().channel();
        boolean readable = channel.isActive() && channel.config().isAutoRead();
        if (readable && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /** Tells whether no request is in progress or on its way in. */
    boolean idle() {
        return !busy() && assembly == null;
    }

    private boolean busy() {
        return exchange != null || whole != null;
    }

    /** Returns since when nothing has gone on, on the monotonic clock in milliseconds. */
    long quietSinceMillis() {
        return quietSinceMillis;
    }

    /** Tells whether a request has begun to come in and is not whole yet. */
    boolean receiving() {
        return assembly != null;
    }

    /** Closes the connection; a request in progress ends as if the caller had left. */
    void close() {
        var unused = ctx().close();
    }

    /** Sends the head of an answer whose body follows. */
    void startAnswer(HttpResponse head) {
        answers.start(head);
    }

    /** Sends a part of the body and releases it. */
    void answerContent(ByteBuf part) {
        answers.content(part);
    }

    void flush() {
        ctx().flush();
    }

    /** Ends the answer whose head was sent. */
    void finishAnswer() {
        done();
        goOn(answers.finish());
    }

    /** Sends a whole answer of the router's own. */
    void answer(HttpResponseStatus status, ByteBuf body, @Nullable String retryAfter) {
        done();
        goOn(answers.whole(status, body, retryAfter));
    }

    private void goOn(boolean open) {
        if (open) {
            next();
        } else {
            closing = true;
        }
    }

    /** Breaks off an answer in a way that cannot be taken for its end. */
    void abort() {
        done();
        closing = true;
        close();
    }

    private ChannelHandlerContext ctx() {
        return Objects.requireNonNull(context, "not yet added to a channel");
    }

    private void done() {
        exchange = null;
        quietSinceMillis = tools.nowMillis();
    }

    private void next() {
        while (!busy() && !closing && !ahead.isEmpty()) {
            accept(ahead.removeFirst());
        }
        if (ahead.isEmpty() && !closing) {
            ctx().channel().config().setAutoRead(true);
        }
    }

    private void accept(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            refuseMalformed(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        RequestAssembly current = assembly;
        if (message instanceof HttpContent content) {
            if (current == null) {
                content.release();
                return;
            }
            current.add(content.content());
            if (current.tooLarge()) {
                refuseEarly(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit");
            } else if (content instanceof LastHttpContent) {
                dispatch(current);
            }
        }
    }

    private void begin(HttpRequest request) {
        answers.endsConnection(!HttpUtil.isKeepAlive(request));
        assembly = new RequestAssembly(
                request, tools.nowMillis(), tools.view().limits().maxBodyBytes(), allocator());
        if (assembly.announcedTooLarge()) {
            refuseEarly(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            var unused =
                    ctx().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void dispatch(RequestAssembly request) {
        assembly = null;
        whole = request;
        if (reading) {
            arrivalDue = true; // its socket can be looked at once the reading is over
        } else {
            arrive();
        }
    }

    private void arrive() {
        RequestAssembly request = whole;
        if (request == null) {
            return;
        }
        if (tools.held().holdsNow()) {
            long patienceMillis = patienceMillis(request.request());
            tools.held().add(this, HeldArrivals.deadlineMillis(request.receivedAtMillis(), patienceMillis));
        } else {
            tools.arrivals().add(this);
        }
    }

    /** A request that cannot be read is refused once there is a configuration, as it would be later. */
    private long patienceMillis(HttpRequest request) {
        try {
            return tools.dialect().decode(request).patienceMillis().orElse(Long.MAX_VALUE);
        } catch (MalformedHeadException e) {
            return Long.MAX_VALUE;
        }
    }

    @Override
    public boolean begin() {
        RequestAssembly request = whole;
        if (request == null || hasLeft()) {
            return false;
        }
        whole = null;
        Exchange started = new Exchange(tools, this, request);
        exchange = started;
        started.begin();
        return true;
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLong = cause instanceof io.netty.handler.codec.http.TooLongHttpHeaderException;
        refuseEarly(
                tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                tooLong ? "the request head is larger than the limit" : "the request is malformed");
    }

    /** Answers before the request is whole; what still comes in of it cannot be told from a next request. */
    private void refuseEarly(HttpResponseStatus status, String detail) {
        answers.endsConnection(true);
        dropInput();
        tools.log().refusedEarly(status.code(), detail);
        answer(status, Refusals.body(allocator(), status.code(), detail), null);
    }

    private void dropInput() {
        if (assembly != null) {
            assembly.release();
            assembly = null;
        }
        if (whole != null) {
            whole.release();
            whole = null;
        }
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
    }
}
