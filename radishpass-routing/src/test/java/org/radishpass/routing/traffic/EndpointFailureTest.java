package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.chunk;
import static org.radishpass.routing.testing.ResponseText.end;
import static org.radishpass.routing.testing.ResponseText.notRun;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks what callers and endpoints receive when endpoints fail, for every kind of failure that is visible in the
 * bytes.
 */
final class EndpointFailureTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private final TrafficFixture fixture;

    EndpointFailureTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "hello")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            String head = String.join(
                    "\r\n",
                    "POST /once/x?q=1 HTTP/1.1",
                    "Host: api",
                    "X-Id: 7",
                    "X-Workspace: forged",
                    "X-Other: kept",
                    "Transfer-Encoding: chunked");
            caller.send(head + "\r\n\r\n" + chunk("abc") + end());
            String response = caller.readUntil("hello");
            FakeEndpoint.ReceivedRequest received = endpoint.nextRequest();

            assertThat(received.line()).isEqualTo("POST /once/x?q=1 HTTP/1.1");
            assertThat(received.body()).isEqualTo("abc");
            assertThat(received.header(PlainDialect.ID)).isEqualTo("7");
            assertThat(received.header("X-Other")).isEqualTo("kept");
            assertThat(received.header(PlainDialect.WORKSPACE)).isEmpty();
            assertThat(received.header(PlainDialect.ENDPOINT)).isEqualTo("a");
            assertThat(response).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aRouterWithoutConfigurationRefusesRequestsAsNotRun() throws Exception {
        try (TestCaller caller = fixture.caller()) {
            String response = caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("retry-after");
        }
    }

    @Test
    void aNonRetryableRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint other = new FakeEndpoint("b", (request, out) -> request.reset());
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, endpoint, other).caller()) {
            String response = caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n");
            assertThat(response).startsWith("HTTP/1.1 502");
            assertThat(endpoint.pendingRequests() + other.pendingRequests()).isEqualTo(1);
        }
    }

    @Test
    void aRequestThatWasProvablyNotRunIsRetriedElsewhere() throws Exception {
        try (FakeEndpoint rejecting = new FakeEndpoint("a", (request, out) -> write(out, notRun(request)));
                FakeEndpoint healthy = new FakeEndpoint("b", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, rejecting, healthy).caller()) {
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("POST", "/once/", "r" + request, "x").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void aRequestThatEveryEndpointRejectsIsRefusedAsNotRun() throws Exception {
        try (FakeEndpoint rejecting = new FakeEndpoint("a", (request, out) -> write(out, notRun(request)));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, rejecting).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("\r\n\r\n"))
                    .startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void aRefusalAfterAnAttemptThatMayHaveRunDoesNotClaimNotRun() throws Exception {
        try (FakeEndpoint resetting = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint rejecting = new FakeEndpoint("b", (request, out) -> write(out, notRun(request)));
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, resetting, rejecting).caller()) {
            for (int request = 0; request < 8; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("}"))
                        .startsWith("HTTP/1.1 502");
            }
        }
    }

    @Test
    void skipsAnEndpointThatRefusesConnections() throws Exception {
        FakeEndpoint exited = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
        try (FakeEndpoint healthy = new FakeEndpoint("b", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, exited, healthy).caller()) {
            exited.close();
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("POST", "/once/", "r" + request, "x").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void retriesAnIdempotentRequestAfterAnErrorOrAFailedResponse() throws Exception {
        try (FakeEndpoint erroneous = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 500, "bad")));
                FakeEndpoint truncating = new FakeEndpoint("b", (request, out) -> {
                    write(out, whole(request, 200, "ok").replace("Length: 2", "Length: 9"));
                    request.reset();
                });
                FakeEndpoint succeeding =
                        new FakeEndpoint("c", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, erroneous, truncating, succeeding)
                        .caller()) {
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void skipsAResponseToAnotherRequest() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: stranger\r\nContent-Length: 5\r\n\r\nwrong");
                    write(out, whole(request, 200, "right"));
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            String response = caller.request("POST", "/once/", "7", "x").readUntil("right");
            assertThat(response).doesNotContain("wrong");
        }
    }

    @Test
    void discardsBytesAfterACompleteResponse() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "a",
                        (request, out) -> write(out, whole(request, 200, "right") + whole(request, 200, "extra")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            for (int request = 0; request < 5; request++) {
                String response =
                        caller.request("POST", "/once/", "r" + request, "x").readUntil("right");
                assertThat(response).doesNotContain("extra");
                assertThat(response).contains("X-Id: r" + request);
            }
        }
    }

    @Test
    void doesNotRelayMalformedResponses() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, "\u0001garbage\r\n\r\n"));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            String response = caller.request("POST", "/once/", "7", "x").readUntil("}");
            assertThat(response).startsWith("HTTP/1.1 502");
            assertThat(response).doesNotContain("garbage");
        }
    }

    @Test
    void doesNotRelayASuccessWithoutTheSignatureOfTheEndpoint() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "a",
                        (request, out) -> write(
                                out,
                                whole(request, 200, "").replace("Content-Length", "X-Unsigned: 1\r\nContent-Length")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertThat(caller.request("POST", "/stream/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void aTruncatedResponseNeverAppearsComplete() throws Exception {
        String longBody = "x".repeat(100_000);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 200000\r\n\r\n" + longBody);
                    request.reset();
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            String response = caller.request("POST", "/once/", "7", "x").readAll();
            assertThat(response.length()).isLessThan(150_000);
        }
    }

    @Test
    void aResponseWithoutLengthIsIncompleteAfterAReset() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nsome");
                    request.reset();
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void aResponseWithoutLengthIsCompleteAfterAnOrderlyClose() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nsome");
                    out.close();
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("0\r\n\r\n"))
                    .contains("some");
        }
    }

    @Test
    void retriesOnANewConnection() throws Exception {
        try (FakeEndpoint resetting = new FakeEndpoint("a", (request, out) -> request.reset());
                FakeEndpoint singleRequest = new FakeEndpoint("b", (request, out) -> {
                    if (!request.firstOnConnection()) {
                        request.reset();
                    }
                    write(out, whole(request, 200, "ok"));
                });
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, singleRequest).caller()) {
            caller.request("GET", "/again/", "first", "").readUntil("ok");
            fixture.configure(TIMEOUT_MILLIS, resetting, singleRequest);
            for (int request = 0; request < 6; request++) {
                assertThat(caller.request("GET", "/again/", "r" + request, "").readUntil("ok"))
                        .startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void aTimedOutRequestIsAnsweredWithoutClaimingNotRun() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> out.flush());
                TestCaller caller = fixture.configure(300, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x").readUntil("}"))
                    .startsWith("HTTP/1.1 504");
            assertThat(Long.parseLong(endpoint.nextRequest().header(PlainDialect.LEFT)))
                    .isAtMost(300);
        }
    }
}
