package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A caller's request while it comes in. It is sent on only once it is whole, so that a caller that leaves midway has run
 * nothing, and so that it can be sent again.
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

    /** Returns when the head came in, on the monotonic clock in milliseconds. */
    long receivedAtMillis() {
        return receivedAtMillis;
    }

    /** Returns the body; its receiver releases it. */
    ByteBuf body() {
        return body;
    }

    boolean announcedTooLarge() {
        return HttpUtil.getContentLength(request, 0L) > maxBodyBytes;
    }

    boolean tooLarge() {
        return body.readableBytes() > maxBodyBytes;
    }

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
