package org.radishpass.routing.exchange;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.radishpass.routing.framing.MalformedResponseException;

/**
 * Tests that a response is delivered whole or not at all, whatever else the connection delivers, cut at any byte and
 * divided into any packets.
 */
class ResponseBoundaryPropertyTest {
    private static final long SEED = 76;
    private static final int RANDOM_DIVISIONS = 3;

    /** Legal responses to the request with id 1. */
    enum Answer {
        LENGTH("HTTP/1.1 200 OK\r\nX-Type: text/plain\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"),
        CHUNKED("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n"),
        TRAILERS(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-More:\r\n\r\n"),
        HEAD("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"),
        NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"),
        CONTINUED("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + LENGTH.text),
        VERSION_10("HTTP/1.0 200 OK\r\nConnection: close\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"),
        EMPTY("HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");

        private final String text;

        Answer(String text) {
            this.text = text;
        }

        HttpMethod method() {
            return this == HEAD ? HttpMethod.HEAD : HttpMethod.GET;
        }

        int headLength() {
            int begin = text.lastIndexOf("HTTP/1");
            return text.indexOf("\r\n\r\n", begin) + 4;
        }

        String body() {
            return this == LENGTH || this == CHUNKED || this == TRAILERS || this == CONTINUED || this == VERSION_10
                    ? "hello"
                    : "";
        }
    }

    private final Random random = new Random(SEED);

    /** Guards against a late response, or a part of one, that stays in the decoder and begins the next response. */
    @ParameterizedTest
    @EnumSource
    void bytesOnAnIdleConnectionCloseIt(Answer answer) {
        forEachSecond(answer, second -> {
            for (List<String> packets : divisions(second)) {
                ResponseRecorder connection = answered(answer);
                connection.receive(packets);
                assertWithMessage(second).that(connection.channel.isOpen()).isFalse();
                assertWithMessage(second).that(connection.reports).hasSize(1);
                assertWithMessage(second).that(connection.reports.get(0)).startsWith("idle ");
                assertWithMessage(second).that(connection.heads).hasSize(heads(answer));
            }
        });
    }

    /** Guards against a connection that is handed back while bytes behind the response are undecoded. */
    @ParameterizedTest
    @EnumSource
    void bytesBehindAResponseCloseTheConnection(Answer answer) {
        forEachSecond(answer, second -> {
            for (List<String> packets : divisions(answer.text + second)) {
                ResponseRecorder connection = new ResponseRecorder();
                connection.request(answer.method(), "1");
                connection.receive(packets);
                assertWhole(connection, answer);
                assertWithMessage(second).that(connection.channel.isOpen()).isFalse();
                assertWithMessage(second).that(connection.reports).hasSize(1);
                assertWithMessage(second).that(connection.surplus).isNotEqualTo(Surplus.OTHER);
            }
            ResponseRecorder joined = new ResponseRecorder();
            joined.request(answer.method(), "1");
            joined.receive(List.of(answer.text + second));
            assertWithMessage(second).that(joined.surplus).isEqualTo(Surplus.RESPONSE_BEGIN);
        });
    }

    /** Guards against a late response that arrives beside the next request and is combined with its response. */
    @ParameterizedTest
    @EnumSource
    void bytesBeforeAResponseAreNotCombinedWithIt(Answer answer) {
        String failing = failing(answer);
        forEachSecond(answer, second -> {
            for (List<String> packets : divisions(second + failing)) {
                ResponseRecorder connection = answered(answer);
                List<String> possible = new ArrayList<>(connection.heads);
                possible.add(failingHead());
                connection.request(answer.method(), "2");
                connection.receive(packets);
                assertWithMessage(second).that(possible).containsAtLeastElementsIn(distinct(connection.heads));
                if (connection.ended) {
                    assertWithMessage(second).that(last(connection.heads)).isEqualTo(failingHead());
                    assertWithMessage(second).that(connection.body()).isEqualTo(failingBody(answer));
                }
            }
        });
    }

    /** Guards against a response that begins anew in its own head, on a new connection. */
    @ParameterizedTest
    @EnumSource
    void headThatBeginsAnewIsMalformed(Answer answer) {
        String text = answer.text;
        int begin = text.lastIndexOf("HTTP/1");
        for (int cut = begin + 1; cut < answer.headLength(); cut++) {
            for (List<String> packets :
                    divisions(text.substring(0, cut) + failing(answer).replace("Id: 2", "Id: 1"))) {
                ResponseRecorder connection = new ResponseRecorder();
                connection.request(answer.method(), "1");
                connection.receive(packets);
                assertWithMessage("%s at %s", answer, cut)
                        .that(connection.ended)
                        .isFalse();
                assertWithMessage("%s at %s", answer, cut)
                        .that(connection.heads)
                        .hasSize(heads(answer) - 1);
                assertWithMessage("%s at %s", answer, cut)
                        .that(connection.failure)
                        .isInstanceOf(MalformedResponseException.class);
            }
        }
    }

    /** Guards against a body that is completed by the beginning of another response and told as whole. */
    @ParameterizedTest
    @EnumSource(names = {"LENGTH", "CHUNKED", "TRAILERS", "CONTINUED", "VERSION_10"})
    void bodyThatEndsInsideAnotherResponseIsInDoubt(Answer answer) {
        String text = answer.text;
        for (int cut = answer.headLength(); cut < text.length(); cut++) {
            ResponseRecorder connection = new ResponseRecorder();
            connection.request(answer.method(), "1");
            connection.receive(List.of(text.substring(0, cut), failing(answer)));
            boolean inDoubt = connection.surplus == Surplus.OTHER;
            assertWithMessage("%s at %s", answer, cut)
                    .that(inDoubt || connection.failure instanceof MalformedResponseException)
                    .isTrue();
        }
    }

    /** Guards against requests that are lost on a connection that delivers nothing but their responses. */
    @Test
    void nextRequestIsSentWhenTheReadIsOver() {
        for (int round = 0; round < 500; round++) {
            ResponseRecorder connection = new ResponseRecorder();
            for (int request = 0; request < 4; request++) {
                Answer answer = Answer.values()[random.nextInt(Answer.values().length)];
                connection.request(answer.method(), "1");
                connection.receive(randomDivision(answer.text));
                assertWhole(connection, answer);
                assertWithMessage("surplus").that(connection.surplus).isEqualTo(Surplus.NONE);
                assertWithMessage("open").that(connection.channel.isOpen()).isTrue();
            }
        }
    }

    private static ResponseRecorder answered(Answer answer) {
        ResponseRecorder connection = new ResponseRecorder();
        connection.request(answer.method(), "1");
        connection.receive(List.of(answer.text));
        assertWhole(connection, answer);
        return connection;
    }

    private static void assertWhole(ResponseRecorder connection, Answer answer) {
        assertWithMessage(answer.name()).that(connection.failure).isNull();
        assertWithMessage(answer.name()).that(connection.ended).isTrue();
        assertWithMessage(answer.name()).that(connection.heads).hasSize(heads(answer));
        assertWithMessage(answer.name()).that(connection.body()).isEqualTo(answer.body());
    }

    private static int heads(Answer answer) {
        return answer == Answer.CONTINUED ? 3 : 1;
    }

    private static String failing(Answer answer) {
        String head = "HTTP/1.1 500 Internal Server Error\r\nX-Id: 2\r\nContent-Length: 6\r\n\r\n";
        return head + failingBody(answer);
    }

    private static String failingHead() {
        return "500 [X-Id=2, Content-Length=6]";
    }

    private static String failingBody(Answer answer) {
        return answer == Answer.HEAD ? "" : "failed";
    }

    /** Calls an action with the second sending of a response, cut at each byte, whole, doubled and tripled. */
    private static void forEachSecond(Answer answer, Consumer<String> action) {
        String text = answer.text;
        for (int cut = 1; cut <= text.length(); cut++) {
            action.accept(text.substring(0, cut));
        }
        action.accept(text + text);
        action.accept(text + text + text);
    }

    private List<List<String>> divisions(String text) {
        List<List<String>> divisions = new ArrayList<>();
        divisions.add(List.of(text));
        divisions.add(List.of(text.split("")));
        for (int count = 0; count < RANDOM_DIVISIONS; count++) {
            divisions.add(randomDivision(text));
        }
        return divisions;
    }

    private List<String> randomDivision(String text) {
        List<String> packets = new ArrayList<>();
        int from = 0;
        while (from < text.length()) {
            int to = Math.min(text.length(), from + 1 + random.nextInt(text.length()));
            packets.add(text.substring(from, to));
            from = to;
        }
        return packets;
    }

    private static List<String> distinct(List<String> texts) {
        return texts.stream().distinct().toList();
    }

    private static String last(List<String> texts) {
        return texts.get(texts.size() - 1);
    }
}
