package org.radishpass.routing.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a {@link MessageBoundary} reports, and when the next request can be sent. */
class MessageBoundaryTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";

    private final ResponseRecorder connection = new ResponseRecorder();

    @ParameterizedTest
    @CsvSource(
            delimiter = '=',
            value = {
                "\\r\\n= RESPONSE_BEGIN= after-response 2 line ends",
                "H= RESPONSE_BEGIN= after-response 1 begin of a response: H",
                "\\r\\nHTTP/1.= RESPONSE_BEGIN= after-response 9 begin of a response: HTTP/1.",
                "HTTP/1.1 200 OK\\r\\n= RESPONSE_BEGIN= after-response 17 begin of a response: HTTP/1.1 200",
                "HTTX= OTHER= after-response 4 no begin of a response",
                "ok= OTHER= after-response 2 no begin of a response",
                "\\0= OTHER= after-response 1 no begin of a response",
            })
    void surplusIsReportedByWhatItBeginsWith(String escaped, Surplus surplus, String report) {
        connection.request(HttpMethod.GET, "1");
        connection.receive(List.of(RESPONSE + escaped.translateEscapes()));
        assertThat(connection.ended).isTrue();
        assertThat(connection.surplus).isEqualTo(surplus);
        assertThat(connection.reports).containsExactly(report);
        assertThat(connection.channel.isOpen()).isFalse();
    }

    /** Guards against a response whose end fills a buffer, so that what follows it is in the next one. */
    @Test
    void surplusOfTheSameReadLoopInAnotherBuffer() {
        connection.request(HttpMethod.GET, "1");
        writeOne(RESPONSE);
        assertThat(connection.ended).isTrue();
        assertThat(connection.surplus).isNull();
        writeOne("HTTP/1.1 5");
        connection.channel.flushInbound();
        assertThat(connection.surplus).isEqualTo(Surplus.RESPONSE_BEGIN);
        assertThat(connection.channel.isOpen()).isFalse();
    }

    @Test
    void bytesBeforeAnyRequestAreReportedOnce() {
        connection.receive(List.of("HTTP/1.1 408 Request Timeout\r\n", "\r\n"));
        assertThat(connection.reports).containsExactly("idle 30 begin of a response: HTTP/1.1 408");
        assertThat(connection.heads).isEmpty();
    }

    @Test
    void requestSentWhenTheReadIsOver() {
        List<String> bodies = new ArrayList<>();
        connection.afterRead = () -> {
            bodies.add(connection.body());
            if (bodies.size() < 3) {
                connection.request(HttpMethod.GET, "1");
            }
        };
        connection.request(HttpMethod.GET, "1");
        connection.receive(List.of(RESPONSE, RESPONSE, RESPONSE));
        assertThat(bodies).containsExactly("ok", "ok", "ok");
        assertThat(connection.reports).isEmpty();
    }

    /** Guards against a request that is written while the read that held the last response goes on. */
    @Test
    void requestInsideTheReadIsRejected() {
        connection.request(HttpMethod.GET, "1");
        writeOne(RESPONSE);
        assertThrows(IllegalStateException.class, () -> connection.request(HttpMethod.GET, "2"));
    }

    @Test
    void closeEndsAResponseWithoutLength() {
        connection.request(HttpMethod.GET, "1");
        connection.receive(List.of("HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nok"));
        assertThat(connection.ended).isFalse();
        var unused = connection.channel.close();
        assertThat(connection.ended).isTrue();
        assertThat(connection.surplus).isEqualTo(Surplus.NONE);
        assertThat(connection.body()).isEqualTo("ok");
    }

    private void writeOne(String text) {
        var unused = connection.channel.writeOneInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
