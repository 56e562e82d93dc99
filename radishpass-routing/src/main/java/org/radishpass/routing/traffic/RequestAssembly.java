package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Assembles a request of a caller. The request is forwarded only once it is complete, so that nothing is run for a
 * caller that disconnects in between, and so that the request can be retried.
 */
final class RequestAssembly {
    private final HttpRequest request;
    private final long receivedAtMillis;
    private final long maxBodyBytes;
    private final CompositeByteBuf body;

    RequestAssembly(HttpRequest request, long receivedAtMillis, long maxBodyBytes, ByteBufAllocator allocator) {
        this.request = request;
        this.receivedAtMillis = receivedAtMillis;
        this.maxBodyBytes = maxBodyBytes;
        this.body = allocator.compositeBuffer(Integer.MAX_VALUE >> 1);
    }

    HttpRequest request() {
        return request;
    }

    /** Returns when the request head was received, on the monotonic clock in milliseconds. */
    long receivedAtMillis() {
        return receivedAtMillis;
    }

    /** Returns the body, which the recipient must release. */
    ByteBuf body() {
        return body;
    }

    /** Tells whether the Content-Length header exceeds the limit. */
    boolean declaredTooLarge() {
        return HttpUtil.getContentLength(request, 0L) > maxBodyBytes;
    }

    /** Tells whether the received part of the body exceeds the limit. */
    boolean tooLarge() {
        return body.readableBytes() > maxBodyBytes;
    }

    /** Adds a part of the body, which the assembly takes over. */
    void add(ByteBuf part) {
        if (part.isReadable()) {
            body.addComponent(true, part);
        } else {
            part.release();
        }
    }

    void release() {
        body.release();
    }
}
