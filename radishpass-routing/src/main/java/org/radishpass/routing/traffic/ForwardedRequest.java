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
import org.radishpass.routing.dialect.ForwardingHeaders;
import org.radishpass.routing.dialect.RequestDialect;

/** Builds the request that is forwarded to an endpoint: the request of the caller, framed by Content-Length. */
final class ForwardedRequest {
    private ForwardedRequest() {
        // static methods only
    }

    /**
     * Builds the forwarded request.
     *
     * @param request the request head of the caller
     * @param body the request body of the caller, which is not consumed
     * @param dialect adds and removes the headers of the router
     * @param forwarding the values that the router adds
     */
    static FullHttpRequest create(
            HttpRequest request, ByteBuf body, RequestDialect dialect, ForwardingHeaders forwarding) {
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
