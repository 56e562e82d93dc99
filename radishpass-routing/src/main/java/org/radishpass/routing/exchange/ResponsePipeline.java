package org.radishpass.routing.exchange;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.radishpass.routing.framing.StrictResponseDecoder;
import org.radishpass.routing.framing.UndecodedByteLimit;

/**
 * Installs what a connection needs to send requests and to take exactly their responses.
 *
 * @since 0.16.0
 */
public final class ResponsePipeline {
    private static final int MAX_INITIAL_LINE = 4_096;
    private static final int MAX_HEADERS = 65_536;
    private static final int MAX_CHUNK = 65_536;

    /** The bytes of the longest head, and of what one read may add to it. */
    private static final int MAX_UNDECODED_BYTES = 4 * MAX_HEADERS;

    private ResponsePipeline() {}

    /**
     * Adds the boundary, the decoder with its limits and the encoder to a pipeline. The owner of the connection follows
     * them.
     *
     * @param pipeline the pipeline
     * @return the boundary, which is told of each request and of the end of each response
     */
    public static MessageBoundary add(ChannelPipeline pipeline) {
        StrictResponseDecoder decoder = new StrictResponseDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE)
                .setMaxHeaderSize(MAX_HEADERS)
                .setMaxChunkSize(MAX_CHUNK));
        MessageBoundary boundary = new MessageBoundary(decoder);
        pipeline.addLast(boundary);
        UndecodedByteLimit.addDecoder(pipeline, decoder, MAX_UNDECODED_BYTES);
        pipeline.addLast(new HttpRequestEncoder());
        return boundary;
    }
}
