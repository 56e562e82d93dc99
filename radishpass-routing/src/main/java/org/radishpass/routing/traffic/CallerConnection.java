package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
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
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.routing.admission.AdmissionRefusal;
import org.radishpass.routing.admission.AdmissionRequest;
import org.radishpass.routing.dialect.MalformedHeadException;

/** A connection from a caller. One request is in progress at a time; pipelined requests wait until it has ended. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ArrivalQueue.Arrival {
    /** Maximum number of pipelined HTTP messages that are queued before reading from the connection is suspended. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private final TrafficContext context;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private final ResponseWriter responseWriter;
    private @Nullable ChannelHandlerContext channelContext;
    private @Nullable RequestAssembly assembly;
    private @Nullable PreparedRequest completeRequest;
    private @Nullable Exchange exchange;
    private boolean closing;
    private boolean reading;
    private boolean enqueueAfterRead;
    private long inactiveSinceMillis;

    CallerConnection(TrafficContext context) {
        this.context = context;
        this.responseWriter = new ResponseWriter(context);
        this.inactiveSinceMillis = context.nowMillis();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        this.channelContext = ctx;
        responseWriter.handlerAdded(ctx);
        context.callers().add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = true;
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (busy()) {
            pipelined.addLast((HttpObject) message);
            ctx.channel().config().setAutoRead(pipelined.size() < MAX_PIPELINED_MESSAGES);
            return;
        }
        accept((HttpObject) message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        if (enqueueAfterRead) {
            enqueueAfterRead = false;
            enqueue();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        context.callers().remove(this);
        Exchange abandoned = exchange;
        exchange = null;
        if (abandoned != null) {
            abandoned.callerDisconnected();
        }
        discardInput();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(ctx.channel().isWritable());
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
     * Tells whether the caller has disconnected, by reading from the socket now. The event loop otherwise detects a
     * close only in its next iteration. In iterations of half a second, as after a process start on an eighth of a
     * core, two out of three requests were forwarded for callers whose close was already waiting in the socket.
     */
    boolean hasDisconnected() {
        Channel channel = ctx().channel();
        boolean readable = channel.isActive() && channel.config().isAutoRead();
        if (readable && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /** Tells whether no request is in progress or being received. */
    boolean idle() {
        return !busy() && assembly == null;
    }

    /** Tells whether all that was written to the caller has been handed to the operating system. */
    boolean flushed() {
        ChannelOutboundBuffer pending = ctx().channel().unsafe().outboundBuffer();
        return pending == null || pending.totalPendingWriteBytes() == 0;
    }

    private boolean busy() {
        return exchange != null || completeRequest != null;
    }

    /**
     * Returns when the last request ended, or when the connection was opened, on the monotonic clock in milliseconds.
     */
    long inactiveSinceMillis() {
        return inactiveSinceMillis;
    }

    /** Tells whether a request has been received in part. */
    boolean receiving() {
        return assembly != null;
    }

    /** Closes the connection. A request in progress ends as if the caller had disconnected. */
    void close() {
        var unused = ctx().close();
    }

    /** Sends the head of a response whose body follows. */
    void startResponse(HttpResponse head) {
        responseWriter.start(head);
    }

    /** Sends a part of the body and releases it. */
    void responseContent(ByteBuf part) {
        responseWriter.content(part);
    }

    void flush() {
        ctx().flush();
    }

    /** Ends the response whose head was sent. */
    void finishResponse() {
        exchangeFinished();
        afterResponse(responseWriter.finish());
    }

    /** Sends a complete response that the router itself creates. */
    void respond(HttpResponseStatus status, ByteBuf body, @Nullable String retryAfter) {
        respond(status, body, retryAfter, headers -> {});
    }

    /**
     * Sends a complete response that the router itself creates.
     *
     * @param status the status
     * @param body the body, which is released
     * @param retryAfter the value of the Retry-After header, or null for no such header
     * @param relayHeaders adds the headers for a router that relayed the request
     */
    void respond(
            HttpResponseStatus status, ByteBuf body, @Nullable String retryAfter, Consumer<HttpHeaders> relayHeaders) {
        exchangeFinished();
        afterResponse(responseWriter.writeComplete(status, body, retryAfter, relayHeaders));
    }

    private void afterResponse(boolean connectionOpen) {
        if (connectionOpen) {
            processPipelined();
        } else {
            closing = true;
        }
    }

    /**
     * Closes the connection in the middle of a response, in a way that the caller cannot mistake for the end of the
     * response. The caller receives what was relayed before.
     */
    void abort() {
        exchangeFinished();
        closing = true;
        responseWriter.abort();
    }

    private ChannelHandlerContext ctx() {
        return Objects.requireNonNull(channelContext, "not yet added to a channel");
    }

    private void exchangeFinished() {
        exchange = null;
        inactiveSinceMillis = context.nowMillis();
    }

    private void processPipelined() {
        while (!busy() && !closing && !pipelined.isEmpty()) {
            accept(pipelined.removeFirst());
        }
        if (pipelined.isEmpty() && !closing) {
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
            startAssembly(request);
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

    private void startAssembly(HttpRequest request) {
        responseWriter.closeAfterResponse(!HttpUtil.isKeepAlive(request));
        responseWriter.callerReadsChunks(request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        assembly = new RequestAssembly(
                request, context.nowMillis(), context.view().limits().maxBodyBytes(), allocator());
        if (assembly.declaredTooLarge()) {
            refuseEarly(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            var unused =
                    ctx().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void dispatch(RequestAssembly request) {
        assembly = null;
        completeRequest = new PreparedRequest(context, request);
        if (reading) {
            enqueueAfterRead = true; // hasDisconnected() must not read from the socket while a read is in progress
        } else {
            enqueue();
        }
    }

    private void enqueue() {
        PreparedRequest request = completeRequest;
        if (request == null) {
            return;
        }
        if (context.heldArrivals().shouldHoldNow()) {
            long timeoutMillis = callerTimeoutMillis(request.request());
            context.heldArrivals()
                    .add(this, HeldArrivals.deadlineMillis(request.record().receivedAtMillis(), timeoutMillis));
        } else {
            context.arrivalQueue().add(this);
        }
    }

    /**
     * Returns how long the caller waits for a response. A malformed request is held without such a limit, and refused
     * once the configuration is known.
     */
    private long callerTimeoutMillis(HttpRequest request) {
        try {
            return context.dialect().decode(request).timeoutMillis().orElse(Long.MAX_VALUE);
        } catch (MalformedHeadException e) {
            return Long.MAX_VALUE;
        }
    }

    @Override
    public boolean start() {
        PreparedRequest request = completeRequest;
        if (request == null || hasDisconnected()) {
            return false;
        }
        completeRequest = null;
        Exchange started = new Exchange(context, this, request);
        exchange = started;
        started.begin();
        return true;
    }

    @Override
    public Optional<AdmissionRequest> admissionRequest() {
        PreparedRequest request = completeRequest;
        return request == null ? Optional.empty() : request.admissionRequest();
    }

    @Override
    public void refuse(AdmissionRefusal refusal) {
        PreparedRequest request = completeRequest;
        if (request != null) {
            completeRequest = null;
            request.refused(refusal);
            int status = RefusalCode.OVERLOADED.status();
            respond(
                    HttpResponseStatus.valueOf(status),
                    Refusals.body(allocator(), status, "the router cannot serve the request in time"),
                    Refusals.seconds(refusal.retryAfterMillis(context.nowMillis())));
        }
    }

    @Override
    public boolean abandoned() {
        return completeRequest == null;
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLong = cause instanceof io.netty.handler.codec.http.TooLongHttpHeaderException;
        refuseEarly(
                tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                tooLong ? "the request head is larger than the limit" : "the request is malformed");
    }

    /**
     * Refuses a request before it is complete. The connection is closed because the remaining bytes cannot be told
     * apart from a next request.
     */
    private void refuseEarly(HttpResponseStatus status, String detail) {
        responseWriter.closeAfterResponse(true);
        discardInput();
        context.requestLog().refusedEarly(status.code(), detail);
        respond(status, Refusals.body(allocator(), status.code(), detail), null);
    }

    private void discardInput() {
        if (assembly != null) {
            assembly.release();
            assembly = null;
        }
        if (completeRequest != null) {
            completeRequest.release();
            completeRequest = null;
        }
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
    }
}
