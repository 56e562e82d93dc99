package org.radishpass.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import reactor.netty.ChannelPipelineConfigurer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * An HTTP client codec that takes only what was received for a request as its response. A connection that receives bytes
 * outside of a response is closed, and its decoder never sees them: they would be the beginning of the next response.
 *
 * @since 0.16.0
 */
public final class ResponseBoundary extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** One instance, because clients share connections only if they configure them with the same object. */
    private static final ChannelPipelineConfigurer INSTALLER = (observer, channel, address) ->
            channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new ResponseBoundary());

    ResponseBoundary() {
        BoundedResponseDecoder decoder = new BoundedResponseDecoder();
        init(decoder, new Encoder(decoder));
    }

    /**
     * Returns a client whose connections have such a codec.
     *
     * @param client the client to derive from, for HTTP/1.1
     */
    public static HttpClient boundedClient(HttpClient client) {
        return client.doOnChannelInit(INSTALLER);
    }

    /** Tells the decoder of each request. */
    private static final class Encoder extends HttpRequestEncoder {
        private final BoundedResponseDecoder decoder;

        private Encoder(BoundedResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.requestSent(HttpMethod.HEAD.equals(request.method()));
            }
            super.encode(ctx, message, out);
        }
    }
}
