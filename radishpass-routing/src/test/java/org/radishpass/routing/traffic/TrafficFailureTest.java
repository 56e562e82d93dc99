package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.Answers.chunk;
import static org.radishpass.routing.testing.Answers.end;
import static org.radishpass.routing.testing.Answers.notRun;
import static org.radishpass.routing.testing.Answers.whole;
import static org.radishpass.routing.testing.Answers.write;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficBed;

/** Checks what callers and endpoints see when endpoints fail in every way that bytes allow. */
final class TrafficFailureTest {
    private static final long LONG = 20_000;

    private final TrafficBed bed;

    TrafficFailureTest() throws Exception {
        bed = new TrafficBed();
    }

    @AfterEach
    void close() {
        bed.close();
    }

    @Test
    void aRequestIsForwardedUnchangedAndItsAnswerToo() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "hello")));
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            String head = String.join(
                    "\r\n",
                    "POST /once/x?q=1 HTTP/1.1",
                    "Host: api",
                    "X-Id: 7",
                    "X-Workspace: forged",
                    "X-Other: kept",
                    "Transfer-Encoding: chunked");
            caller.send(head + "\r\n\r\n" + chunk("abc") + end());
            String answer = caller.readUntil("hello");
            FakeEndpoint.Seen seen = endpoint.next();

            assertThat(seen.line()).isEqualTo("POST /once/x?q=1 HTTP/1.1");
            assertThat(seen.body()).isEqualTo("abc");
            assertThat(seen.header(PlainDialect.ID)).isEqualTo("7");
            assertThat(seen.header("X-Other")).isEqualTo("kept");
            assertThat(seen.header(PlainDialect.WORKSPACE)).isEmpty();
            assertThat(seen.header(PlainDialect.ENDPOINT)).isEqualTo("a");
            assertThat(answer).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aRouterThatKnowsNothingSaysThatTheRequestHasNotRun() throws Exception {
        try (TestCaller caller = bed.caller()) {
            String answer = caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n");
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer.toLowerCase(java.util.Locale.ROOT)).contains("retry-after");
        }
    }

    @Test
    void whatMayHaveRunIsNeverSentAgainNorCalledNotRun() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint other = new FakeEndpoint("b", (request, out) -> request.reset());
                TestCaller caller = bed.knows(LONG, endpoint, other).caller()) {
            String answer = caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n");
            assertThat(answer).startsWith("HTTP/1.1 502");
            assertThat(endpoint.unseen() + other.unseen()).isEqualTo(1);
        }
    }

    @Test
    void whatAnEndpointProvablyDidNotRunIsTriedElsewhere() throws Exception {
        try (FakeEndpoint full = new FakeEndpoint("a", (request, out) -> write(out, notRun(request)));
                FakeEndpoint free = new FakeEndpoint("b", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = bed.knows(LONG, full, free).caller()) {
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("POST", "/once/", "r" + request, "x").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void whenEveryEndpointRefusesTheRefusalSaysSo() throws Exception {
        try (FakeEndpoint full = new FakeEndpoint("a", (request, out) -> write(out, notRun(request)));
                TestCaller caller = bed.knows(LONG, full).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n"))
                    .startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void aRefusalAfterAnAttemptThatMayHaveRunPromisesNothing() throws Exception {
        try (FakeEndpoint resetting = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint full = new FakeEndpoint("b", (request, out) -> write(out, notRun(request)));
                TestCaller caller = bed.knows(LONG, resetting, full).caller()) {
            for (int request = 0; request < 8; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("}"))
                        .startsWith("HTTP/1.1 502");
            }
        }
    }

    @Test
    void anEndpointThatRefusesConnectionsIsPassedOver() throws Exception {
        FakeEndpoint gone = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
        try (FakeEndpoint free = new FakeEndpoint("b", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = bed.knows(LONG, gone, free).caller()) {
            gone.close();
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("POST", "/once/", "r" + request, "x").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void anIdempotentRequestIsTriedAgainAfterAnErrorOrABreak() throws Exception {
        try (FakeEndpoint bad = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 500, "bad")));
                FakeEndpoint cut = new FakeEndpoint("b", (request, out) -> {
                    write(out, whole(request, 200, "ok").replace("Length: 2", "Length: 9"));
                    request.reset();
                });
                FakeEndpoint good = new FakeEndpoint("c", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = bed.knows(LONG, bad, cut, good).caller()) {
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void anAnswerToAnotherRequestIsSkipped() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: stranger\r\nContent-Length: 5\r\n\r\nwrong");
                    write(out, whole(request, 200, "right"));
                });
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            String answer = caller.request("POST", "/once/", "7", "x").readUntil("right");
            assertThat(answer).doesNotContain("wrong");
        }
    }

    @Test
    void bytesThatFollowACompleteAnswerReachNobody() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "a",
                        (request, out) -> write(out, whole(request, 200, "right") + whole(request, 200, "extra")));
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            for (int request = 0; request < 5; request++) {
                String answer =
                        caller.request("POST", "/once/", "r" + request, "x").readUntil("right");
                assertThat(answer).doesNotContain("extra");
                assertThat(answer).contains("X-Id: r" + request);
            }
        }
    }

    @Test
    void bytesThatAreNoAnswerAreNotPassedOn() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, "\u0001garbage\r\n\r\n"));
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            String answer = caller.request("POST", "/once/", "7", "x").readUntil("}");
            assertThat(answer).startsWith("HTTP/1.1 502");
            assertThat(answer).doesNotContain("garbage");
        }
    }

    @Test
    void aSuccessWithoutTheEndpointsSignatureIsNotPassedOn() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "a",
                        (request, out) -> write(
                                out,
                                whole(request, 200, "").replace("Content-Length", "X-Unsigned: 1\r\nContent-Length")));
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            assertThat(caller.request("POST", "/stream/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void anAnswerThatIsCutNeverLooksComplete() throws Exception {
        String longBody = "x".repeat(100_000);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 200000\r\n\r\n" + longBody);
                    request.reset();
                });
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            String answer = caller.request("POST", "/once/", "7", "x").readAll();
            assertThat(answer.length()).isLessThan(150_000);
        }
    }

    @Test
    void anAnswerWithoutLengthThatIsResetIsNotComplete() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nsome");
                    request.reset();
                });
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void anAnswerWithoutLengthThatEndsIsComplete() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nsome");
                    out.close();
                });
                TestCaller caller = bed.knows(LONG, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("0\r\n\r\n"))
                    .contains("some");
        }
    }

    @Test
    void whatFailedIsTriedAgainOnANewConnection() throws Exception {
        try (FakeEndpoint breaking = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint forgetful = new FakeEndpoint("b", (request, out) -> {
                    if (!request.firstOnConnection()) {
                        request.reset();
                    }
                    write(out, whole(request, 200, "ok"));
                });
                TestCaller caller = bed.knows(LONG, forgetful).caller()) {
            caller.request("GET", "/again/", "first", "").readUntil("ok");
            bed.knows(LONG, breaking, forgetful);
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void aRequestThatHasWaitedItsTimeGetsAFinalAnswerThatPromisesNothing() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> out.flush());
                TestCaller caller = bed.knows(300, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 504");
            assertThat(Long.parseLong(endpoint.next().header(PlainDialect.LEFT)))
                    .isAtMost(300);
        }
    }
}
