package org.radishpass.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks which received bytes are decoded as the response to a request, for each cut of another response. */
final class ResponseBoundaryTest {
    private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nX-A: b c\r\nContent-Length: 3\r\n\r\nold";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n";
    private static final String FAILURE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nnew";

    private final EmbeddedChannel channel = new EmbeddedChannel(new ResponseBoundary());

    @ParameterizedTest
    @ValueSource(
            strings = {
                WITH_LENGTH,
                CHUNKED,
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
            })
    void aConnectionServesOneRequestAfterTheOther(String response) {
        for (int request = 0; request < 3; request++) {
            send(HttpMethod.GET);
            receive(response);
            assertThat(read()).endsWith(response.contains("old") ? "200 old." : "204 .");
        }
        assertThat(channel.isOpen()).isTrue();
        send(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
        assertThat(read()).isEqualTo("200 .");
        assertThat(channel.isOpen()).isTrue();
    }

    /** Guards against bytes that stay in the decoder of an idle connection and begin the next response. */
    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, CHUNKED})
    void bytesOnAnIdleConnectionCloseIt(String late) {
        for (int cut = 1; cut <= late.length(); cut++) {
            EmbeddedChannel idle = new EmbeddedChannel(new ResponseBoundary());
            send(idle, HttpMethod.GET);
            receive(idle, WITH_LENGTH);
            assertThat(read(idle)).isEqualTo("200 old.");
            receive(idle, late.substring(0, cut));
            assertThat(read(idle)).isEmpty();
            assertThat(idle.isOpen()).isFalse();
        }
    }

    /** Guards against a connection that is used again before what follows the response in the same read is seen. */
    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, CHUNKED})
    void bytesBehindAResponseCloseTheConnectionBeforeItsEndIsPassedOn(String late) {
        for (int cut = 1; cut <= late.length(); cut++) {
            OpenAtEnd owner = new OpenAtEnd();
            EmbeddedChannel joined = new EmbeddedChannel(new ResponseBoundary(), owner);
            send(joined, HttpMethod.GET);
            receive(joined, WITH_LENGTH + late.substring(0, cut));
            assertThat(read(joined)).isEqualTo("200 old.");
            assertThat(owner.open).isFalse();
        }
    }

    /** Guards against a second response in the read after the one that ended a response, within one read loop. */
    @Test
    void bytesLaterInTheSameReadLoopCloseTheConnection() {
        send(HttpMethod.GET);
        var unused = channel.writeOneInbound(Unpooled.copiedBuffer(WITH_LENGTH, StandardCharsets.US_ASCII));
        unused = channel.writeOneInbound(Unpooled.copiedBuffer("HTTP/1.1 200", StandardCharsets.US_ASCII));
        channel.flushInbound();
        assertThat(read()).isEqualTo("200 old.");
        assertThat(channel.isOpen()).isFalse();
    }

    /** Guards against a response that breaks off in its head, and is completed by the one that follows. */
    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, CHUNKED})
    void aHeadThatBeginsTwiceIsNeverTheFirstOnes(String late) {
        int head = late.indexOf("\r\n\r\n") + 2;
        for (int cut = 1; cut <= head; cut++) {
            EmbeddedChannel twice = new EmbeddedChannel(new ResponseBoundary());
            send(twice, HttpMethod.GET);
            boolean failed = false;
            try {
                receive(twice, late.substring(0, cut) + FAILURE);
            } catch (RuntimeException e) {
                failed = true;
            }
            assertThat(read(twice)).doesNotContain("200");
            assertThat(failed).isTrue();
            assertThat(twice.isOpen()).isFalse();
        }
    }

    @Test
    void aResponseWithoutLengthEndsWithItsConnection() {
        send(HttpMethod.GET);
        receive("HTTP/1.1 200 OK\r\n\r\nall");
        assertThat(read()).isEqualTo("200 all");
        channel.finish();
        assertThat(read()).isEqualTo(".");
    }

    private void send(HttpMethod method) {
        send(channel, method);
    }

    private static void send(EmbeddedChannel channel, HttpMethod method) {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
        channel.releaseOutbound();
    }

    private void receive(String bytes) {
        receive(channel, bytes);
    }

    private static void receive(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private String read() {
        return read(channel);
    }

    /** Returns what was decoded: statuses and bodies, and a dot at the end of each response. */
    private static String read(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                text.append(response.status().code()).append(' ');
            }
            if (message instanceof HttpContent content) {
                text.append(content.content().toString(StandardCharsets.US_ASCII));
            }
            if (message instanceof LastHttpContent) {
                text.append('.');
            }
            ReferenceCountUtil.release(message);
        }
        return text.toString();
    }

    /** Notes whether the connection is open when the end of a response arrives. */
    private static final class OpenAtEnd extends ChannelInboundHandlerAdapter {
        private boolean open = true;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof LastHttpContent) {
                open = ctx.channel().isOpen();
            }
            ctx.fireChannelRead(message);
        }
    }
}
