package org.radishpass.routing.exchange;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** An owner of a connection that records what its pipeline delivers. It takes the response with the awaited id. */
final class ResponseRecorder extends ChannelInboundHandlerAdapter implements MessageBoundary.Listener {
    /** The header with the id of the request. */
    static final String ID = "X-Id";

    final EmbeddedChannel channel = new EmbeddedChannel();

    /** Each head: the status and its headers. */
    final List<String> heads = new ArrayList<>();

    final List<String> reports = new ArrayList<>();

    /** Called when a read that ended a response is over. */
    Runnable afterRead = () -> {};

    @Nullable
    Surplus surplus;

    @Nullable
    Throwable failure;

    boolean ended;
    private final MessageBoundary boundary;
    private final StringBuilder body = new StringBuilder();
    private String awaited = "";
    private boolean own;

    ResponseRecorder() {
        boundary = ResponsePipeline.add(channel.pipeline());
        boundary.listener(this);
        channel.pipeline().addLast(this);
    }

    /** Forgets the last response and lets the next one pass. */
    void request(HttpMethod method, String id) {
        heads.clear();
        body.setLength(0);
        awaited = id;
        own = false;
        ended = false;
        surplus = null;
        boundary.requestSent(method);
    }

    /** Receives packets until the connection is closed. */
    void receive(List<String> packets) {
        for (String packet : packets) {
            if (channel.isOpen()) {
                channel.writeInbound(Unpooled.copiedBuffer(packet, StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** Returns the body of the response with the awaited id. */
    String body() {
        return body.toString();
    }

    static String headText(int status, HttpHeaders headers) {
        return status + " " + headers.entries();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (((HttpObject) message).decoderResult().isFailure()) {
            failure = ((HttpObject) message).decoderResult().cause();
            var unused = ctx.close();
        }
        if (message instanceof HttpResponse response) {
            heads.add(headText(response.status().code(), response.headers()));
            own = awaited.equals(response.headers().get(ID))
                    && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        }
        if (message instanceof HttpContent content) {
            if (own) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            content.release();
            if (own && content instanceof LastHttpContent) {
                ended = true;
                boundary.responseEnded();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failure = cause;
        var unused = ctx.close();
    }

    @Override
    public void unsolicited(ArrivalPhase phase, int bytes, String description) {
        reports.add(phase.text() + " " + bytes + " " + description);
    }

    @Override
    public void readEnded(Surplus found) {
        surplus = found;
        afterRead.run();
    }
}
