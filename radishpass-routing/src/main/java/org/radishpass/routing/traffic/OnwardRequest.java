package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishpass.routing.dialect.ForwardingHead;
import org.radishpass.routing.dialect.RequestDialect;

/** Makes the request that an endpoint gets: the caller's own, framed by its length. */
final class OnwardRequest {
    private OnwardRequest() {
        // static methods only
    }

    /**
     * Makes it.
     *
     * @param request the caller's head
     * @param body the caller's body; it is not consumed
     * @param dialect says what the router adds and removes
     * @param forwarding what the router says
     */
    static FullHttpRequest of(HttpRequest request, ByteBuf body, RequestDialect dialect, ForwardingHead forwarding) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(request.headers());
        boolean framed = HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request);
        HopByHop.strip(headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        dialect.encode(headers, forwarding);
        if (framed || body.isReadable()) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
