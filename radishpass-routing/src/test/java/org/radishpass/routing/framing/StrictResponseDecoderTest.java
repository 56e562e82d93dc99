package org.radishpass.routing.framing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which heads, chunk lines and trailers a {@link StrictResponseDecoder} decodes. */
class StrictResponseDecoderTest {
    private final StrictResponseDecoder decoder = new StrictResponseDecoder(new HttpDecoderConfig());
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 \r\ncontent-length:2 \r\n\r\nok",
                "HTTP/1.0 200 OK, \u00fcber HTTP/1.1\r\nContent-Length:  02\r\n\r\nok",
                "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 name, HTTP/1.1 20 0\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nEmpty:\r\nX-!#$%&'*+-.^_`|~9: a:\t\u00fc b\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00000001;a=b\r\no\r\n1 ;c\r\nk\r\n00\r\nT: v\r\n\r\n",
            })
    void legal(String text) {
        assertThat(received(text)).containsExactly("200", "ok", "end").inOrder();
        assertThat(decoder.betweenMessages()).isTrue();
        assertThat(decoder.undecodedBytes()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '=',
            value = {
                "\\0= invalid-version",
                "' '= invalid-version",
                "HTTP/1.2= invalid-version",
                "HTTP/2= invalid-version",
                "h= invalid-version",
                "'HTTP/1.1  '= invalid-status",
                "HTTP/1.1 0= invalid-status",
                "HTTP/1.1 6= invalid-status",
                "HTTP/1.1 2000= invalid-status",
                "HTTP/1.1 200O= invalid-status",
                "HTTP/1.1 20\\r= invalid-status",
                "'HTTP/1.1 200 OKHTTP/1.1 503 '= status-line-inside",
                "HTTP/1.1 200 HTTP/1.1 503\\n= status-line-inside",
                "HTTP/1.1 200 a\\0= invalid-value",
                "HTTP/1.1 200 a\\rb= invalid-value",
                "HTTP/1.1 200 OK\\r\\nA: tHTTP/1.1 503\\r= status-line-inside",
                "HTTP/1.1 200 OK\\r\\nA: HTTP/1.HTTP/1.0 503\\r= status-line-inside",
                "HTTP/1.1 200 OK\\r\\nContent-TyHTTP/= status-line-inside",
                "HTTP/1.1 200 OK\\r\\nHTTP/= status-line-inside",
                "HTTP/1.1 200 OK\\r\\nA\\r= line-without-colon",
                "HTTP/1.1 200 OK\\r\\nA\\n= line-without-colon",
                "'HTTP/1.1 200 OK\\r\\nA: b\\r\\n '= folded-line",
                "HTTP/1.1 200 OK\\r\\n\\t= folded-line",
                "'HTTP/1.1 200 OK\\r\\nA '= space-before-colon",
                "HTTP/1.1 200 OK\\r\\n:= invalid-name",
                "HTTP/1.1 200 OK\\r\\nA/= invalid-name",
                "HTTP/1.1 200 OK\\r\\nA\\374= invalid-name",
                "HTTP/1.1 200 OK\\r\\nA\\0= invalid-name",
                "HTTP/1.1 200 OK\\r\\nA: b\\0= invalid-value",
                "HTTP/1.1 200 OK\\r\\nA: b\\rc= invalid-value",
                "HTTP/1.1 200 OK\\r\\nA: b\\r\\n\\rH= invalid-value",
                "HTTP/1.1 200 OK\\r\\nA: \\177= invalid-value",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\nContent-Length: 2\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\nCONTENT-LENGTH: 1\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 1, 1\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -1\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length:\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 1234567890123456789\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 1\\r\\n= conflicting-length",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: gzip, chunked\\r\\n= invalid-transfer-encoding",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: gzip\\r\\n= invalid-transfer-encoding",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked\\r\\n= invalid-transfer-encoding",
                "HTTP/1.0 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n= invalid-transfer-encoding",
            })
    void illegalHeadIsRejectedWithItsLastByte(String escaped, String defect) {
        assertRejectedWithLastByte(escaped.translateEscapes(), defect);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '=',
            value = {
                "x= invalid-chunk",
                "\\r= invalid-chunk",
                "-= invalid-chunk",
                "10000000= invalid-chunk",
                "00010000000= invalid-chunk",
                "2 x= invalid-chunk",
                "2\\rx= invalid-chunk",
                "2;a\\0= invalid-chunk",
                "2\\r\\nabc= invalid-chunk",
                "2\\r\\nab\\rc= invalid-chunk",
                "0\\r\\nHTTP/= status-line-inside",
                "0\\r\\nA: HTTP/1.1 503\\r= status-line-inside",
                "0\\r\\nA\\r= line-without-colon",
                "0\\r\\nA: b\\0= invalid-value",
                "'0\\r\\n '= folded-line",
            })
    void illegalChunkLinesAndTrailers(String escaped, String defect) {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertRejectedWithLastByte(head + escaped.translateEscapes(), defect);
    }

    @Test
    void nothingIsDecodedAfterAFailure() {
        assertThrows(MalformedResponseException.class, () -> write("HTTP/1.1 200 OK\r\nA\r\n"));
        write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        channel.finish();
        assertThat(drain()).isEmpty();
        assertThat(decoder.undecodedBytes()).isEqualTo(0);
    }

    @Test
    void messagesBeforeTheMalformedOneAreDelivered() {
        assertThrows(
                MalformedResponseException.class, () -> write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\n\r\nx"));
        assertThat(drain()).containsExactly("100", "end", "204", "end").inOrder();
    }

    /** Guards against a response to a HEAD request whose successor is read as its body. */
    @Test
    void responsesToHeadHaveNoBody() {
        decoder.requestMethod(HttpMethod.HEAD);
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertThat(received(head + head))
                .containsExactly("200", "end", "200", "end")
                .inOrder();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n",
            })
    void responsesWithoutBody(String text) {
        assertThat(received(text + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                .containsExactly(text.substring(9, 12), "end", "200", "end")
                .inOrder();
    }

    @Test
    void closeEndsABodyWithoutLength() {
        assertThat(received("HTTP/1.0 200 OK\r\n\r\nok")).containsExactly("200", "ok");
        channel.finish();
        assertThat(drain()).containsExactly("end");
        assertThat(decoder.betweenMessages()).isTrue();
    }

    @Test
    void pausedDecoderKeepsTheBytes() {
        decoder.pause();
        write("HTTP/1.1 200 OK");
        assertThat(drain()).isEmpty();
        assertThat(decoder.undecodedBytes()).isEqualTo(15);
        decoder.requestMethod(HttpMethod.GET);
        assertThat(received("\r\nContent-Length: 0\r\n\r\n")).containsExactly("200", "end");
    }

    private void assertRejectedWithLastByte(String text, String defect) {
        int last = text.length() - 1;
        write(text.substring(0, last));
        List<String> before = drain();
        MalformedResponseException failure =
                assertThrows(MalformedResponseException.class, () -> write(text.substring(last)));
        assertWithMessage(text).that(failure.defect().text()).isEqualTo(defect);
        assertThat(before).containsNoneOf("end", "500");
        assertThat(drain()).isEmpty();
    }

    private List<String> received(String text) {
        write(text);
        return drain();
    }

    private void write(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Returns status, content and end of each message, with adjacent content joined. */
    private List<String> drain() {
        List<String> drained = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                drained.add(Integer.toString(response.status().code()));
            }
            if (message instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                content.release();
            }
            if (message instanceof LastHttpContent) {
                addBody(body, drained);
                drained.add("end");
            }
        }
        addBody(body, drained);
        return drained;
    }

    private static void addBody(StringBuilder body, List<String> drained) {
        if (!body.isEmpty()) {
            drained.add(body.toString());
            body.setLength(0);
        }
    }
}
