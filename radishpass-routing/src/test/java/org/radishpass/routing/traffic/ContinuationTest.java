package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.chunk;
import static org.radishpass.routing.testing.ResponseText.end;
import static org.radishpass.routing.testing.ResponseText.event;
import static org.radishpass.routing.testing.ResponseText.streamHead;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.FakeEndpoint.ReceivedRequest;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks what a caller receives when the response that is to continue a stream, or to begin it, is something else. */
final class ContinuationTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final String LAST_CHUNK = "\r\n" + end();

    /**
     * Guards against a stream that ends as if it were complete, or goes on with a foreign body, because a response that is
     * not its continuation was taken for one.
     */
    @ParameterizedTest
    @CsvSource({
        "500, text/event-stream, ''",
        "500, '', ''",
        "500, text/event-stream, 'id: 3\ndata: event 3\n\n'",
        "500, text/plain, 'failed\n\n'",
        "503, text/event-stream, ''",
        "502, text/event-stream, ''",
        "504, text/event-stream, ''",
        "400, text/event-stream, ''",
        "404, text/plain, 'not found\n\n'",
        "408, text/event-stream, ''",
        "409, text/event-stream, ''",
        "429, text/event-stream, ''",
        "301, text/event-stream, ''",
        "302, text/html, ''",
        "307, text/event-stream, 'id: 3\ndata: event 3\n\n'",
        "204, text/event-stream, ''",
        "206, text/event-stream, 'id: 3\ndata: event 3\n\n'",
        "304, text/event-stream, ''",
        "200, text/html, '<h1>busy</h1>\n\n'",
        "200, '', 'id: 3\ndata: event 3\n\n'",
        "200, text/event-stream, '<h1>busy</h1>\n\n'",
        "200, text/event-stream, 'data: busy\n\n'",
        "200, text/event-stream, ':ping\n\ndata: busy\n\n'",
    })
    void aResponseThatDoesNotContinueAStreamIsNotRelayedAndAnotherOneIsTried(int status, String mediaType, String body)
            throws Exception {
        for (Sender sender : Sender.values()) {
            Exchange retried = new Exchange(status, mediaType, body);
            String whole = retried.responseBy(sender, 3);
            assertThat(events(whole)).isEqualTo(event(1) + event(2) + event(3));
            assertThat(whole).endsWith(LAST_CHUNK);

            Exchange last = new Exchange(status, mediaType, body);
            String broken = last.responseBy(sender, 2);
            assertThat(events(broken)).isEqualTo(event(1) + event(2));
            assertThat(broken).doesNotContain(LAST_CHUNK);
            assertThat(last.requests.get()).isEqualTo(2);
        }
    }

    /** Guards against a check of continuations that breaks off streams which go on as they should. */
    @ParameterizedTest
    @CsvSource({
        "text/event-stream, 'id: 3\ndata: event 3\n\n'",
        "'Text/Event-Stream; charset=utf-8', 'id: 3\ndata: event 3\n\n'",
        "text/event-stream, 'id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n'",
        "text/event-stream, ''",
    })
    void aResponseThatContinuesAStreamIsRelayed(String mediaType, String body) throws Exception {
        for (Sender sender : Sender.values()) {
            Exchange exchange = new Exchange(200, mediaType, body);
            String response = exchange.responseBy(sender, 2);
            assertThat(events(response)).isEqualTo(event(1) + event(2) + (body.isEmpty() ? "" : event(3)));
            assertThat(response).endsWith(LAST_CHUNK);
        }
    }

    /** Guards against counting an attempt that has certainly not run, so that its stream is broken off. */
    @ParameterizedTest
    @CsvSource({"421, 'X-Other: 1'", "503, 'X-Not-Run: 1'", "429, 'X-Not-Run: 1'"})
    void anEndpointThatDidNotRunTheContinuationIsNotCounted(int status, String header) throws Exception {
        Exchange exchange = new Exchange(status, "", "");
        exchange.header = header + "\r\n";
        String response = exchange.responseBy(Sender.ENDPOINT, 2);
        assertThat(events(response)).isEqualTo(event(1) + event(2) + event(3));
        assertThat(response).endsWith(LAST_CHUNK);
    }

    /** Guards against breaking off a stream because one router, which has not run the request, refuses to continue it. */
    @ParameterizedTest
    @CsvSource({"503", "429"})
    void aRouterThatRefusesTheContinuationIsNotCounted(int status) throws Exception {
        Exchange exchange = new Exchange(status, "", "");
        exchange.header = "Radishpass-Relay-Refusal: " + status + "\r\n";
        String response = exchange.responseBy(Sender.ROUTER, 2);
        assertThat(events(response)).isEqualTo(event(1) + event(2) + event(3));
        assertThat(response).endsWith(LAST_CHUNK);
    }

    /** Guards against a check of continuations that also changes responses of which the caller has been sent nothing. */
    @ParameterizedTest
    @CsvSource({"500, text/plain", "409, text/plain", "302, text/html", "200, text/html", "206, text/event-stream"})
    void aResponseOfWhichNothingWasSentIsRelayedUnchanged(int status, String mediaType) throws Exception {
        for (Sender sender : Sender.values()) {
            Exchange exchange = new Exchange(status, mediaType, "some text\n\n");
            exchange.begun = false;
            String response = exchange.responseBy(sender, 1);
            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("content-type: " + mediaType);
            assertThat(response).contains("some text\n\n");
            assertThat(response).endsWith(LAST_CHUNK);
        }
    }

    /** Guards against repeated events in a stream whose events have no ids by which they could be recognized. */
    @ParameterizedTest
    @CsvSource({"'data: a\n\n'", "'id: 1\ndata: event 1\n\ndata: a\n\n'"})
    void aStreamWithAnEventWithoutAnIdIsNotContinued(String events) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint.Script script = (request, out) -> {
            requests.incrementAndGet();
            write(out, streamHead(request) + chunk(events));
            request.reset();
        };
        try (FakeEndpoint one = new FakeEndpoint("one", script);
                FakeEndpoint other = new FakeEndpoint("other", script);
                TrafficFixture fixture = new TrafficFixture().configure(TIMEOUT_MILLIS, one, other);
                TestCaller caller = fixture.caller()) {
            String response = send(caller);
            assertThat(events(response)).isEqualTo(events);
            assertThat(requests.get()).isEqualTo(1);
        }
    }

    /** Guards against events of a stream after the beginning of an error body that was too long to be buffered. */
    @Test
    void anErrorThatIsCutOffIsNotContinued() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        String body = "id: 1\n" + "x".repeat(100_000) + "\n\n";
        FakeEndpoint.Script script = (request, out) -> {
            requests.incrementAndGet();
            write(out, streamHead(request).replace("200 OK", "404 Not Found") + chunk(body));
            request.close();
        };
        try (FakeEndpoint one = new FakeEndpoint("one", script);
                FakeEndpoint other = new FakeEndpoint("other", script);
                TrafficFixture fixture = new TrafficFixture().configure(TIMEOUT_MILLIS, one, other);
                TestCaller caller = fixture.caller()) {
            String response = send(caller);
            assertThat(response).startsWith("HTTP/1.1 404");
            assertThat(response).doesNotContain(LAST_CHUNK);
            assertThat(requests.get()).isEqualTo(1);
        }
    }

    /** Guards against more runs than the route allows when other routers have sent the request to several endpoints. */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 2", "3, 2"})
    void attemptsThatAnotherRouterReportsCount(int reported, int requests) throws Exception {
        Exchange exchange = new Exchange(500, "text/event-stream", "");
        exchange.header = "Radishpass-Relay-Attempts-Used: " + reported + "\r\n";
        String response = exchange.responseBy(Sender.ROUTER, 3);
        assertThat(exchange.requests.get()).isEqualTo(requests);
        assertThat(response).doesNotContain("Radishpass-Relay");
    }

    private static String send(TestCaller caller) throws IOException {
        return caller.send("POST /resume/ HTTP/1.1\r\nHost: api\r\nConnection: close\r\n" + PlainDialect.ID
                        + ": 7\r\nContent-Length: 0\r\n\r\n")
                .readAll();
    }

    /** Returns the events of a response, without the comments between them. */
    private static String events(String response) {
        String body = response.substring(response.indexOf("\r\n\r\n") + 2).replace("<reset>", "");
        return body.replace(":ping\n\n", "")
                .replaceAll("\r\n0\r\n\r\n$", "")
                .replaceAll("\r\n[0-9a-f]+\r\n", "")
                .replaceAll("\r\n$", "");
    }

    /** Who sends the responses to the router under test. */
    private enum Sender {
        ENDPOINT {
            @Override
            String response(Exchange exchange, int attempts) throws Exception {
                try (FakeEndpoint one = new FakeEndpoint("one", exchange::respond);
                        FakeEndpoint two = new FakeEndpoint("two", exchange::respond);
                        FakeEndpoint three = new FakeEndpoint("three", exchange::respond);
                        TrafficFixture fixture = new TrafficFixture().attempts(attempts);
                        TestCaller caller = fixture.configure(TIMEOUT_MILLIS, one, two, three)
                                .caller()) {
                    return send(caller);
                }
            }
        },
        ROUTER {
            @Override
            String response(Exchange exchange, int attempts) throws Exception {
                FakeEndpoint closed = new FakeEndpoint("closed", (request, out) -> request.reset());
                closed.close();
                try (FakeEndpoint two = new FakeEndpoint("2", exchange::relay);
                        FakeEndpoint three = new FakeEndpoint("3", exchange::relay);
                        FakeEndpoint four = new FakeEndpoint("4", exchange::relay);
                        TrafficFixture fixture = new TrafficFixture().attempts(attempts)) {
                    fixture.configure(TIMEOUT_MILLIS, closed);
                    try (TestCaller first = fixture.caller()) {
                        // the first request finds out that the endpoint is not reached
                        first.request("GET", "/again/", "first", "").readUntil("\r\n\r\n");
                    }
                    fixture.peers(1, router(2, two), router(3, three), router(4, four));
                    try (TestCaller caller = fixture.caller()) {
                        return send(caller);
                    }
                }
            }
        };

        abstract String response(Exchange exchange, int attempts) throws Exception;

        private static FleetRouter router(int number, FakeEndpoint router) {
            return TrafficFixture.router(number, router.endpoint("x").address().port());
        }
    }

    /**
     * The responses to one request: two events of a stream that breaks off, then the response under test, then the end of
     * the stream.
     */
    private static final class Exchange {
        private final int status;
        private final String mediaType;
        private final String body;
        private final AtomicInteger requests = new AtomicInteger();
        private String header = "";
        private boolean begun = true;

        private Exchange(int status, String mediaType, String body) {
            this.status = status;
            this.mediaType = mediaType;
            this.body = body;
        }

        private String responseBy(Sender sender, int attempts) throws Exception {
            return sender.response(this, attempts);
        }

        private void relay(ReceivedRequest request, OutputStream out) throws IOException {
            if (request.line().startsWith("POST")) { // the chunks of the body follow as further messages
                write(out, "HTTP/1.1 100 Continue\r\n\r\n");
                respond(request, out);
            }
        }

        private void respond(ReceivedRequest request, OutputStream out) throws IOException {
            int number = requests.incrementAndGet() + (begun ? 0 : 1);
            if (number == 1) {
                String origin = "\r\nRadishpass-Relay-Origin-Service: " + TrafficFixture.SERVICE
                        + "\r\nRadishpass-Relay-Origin-Version: v1\r\n\r\n";
                write(out, streamHead(request).stripTrailing() + origin + chunk(event(1) + event(2)));
            } else if (number == 2) {
                write(out, head(request) + (status == 204 || status == 304 ? "" : chunked()));
            } else {
                write(out, streamHead(request) + chunk(event(3)) + end());
            }
            request.close();
        }

        private String head(ReceivedRequest request) {
            return "HTTP/1.1 " + status + " x\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID) + "\r\n"
                    + header + (mediaType.isEmpty() ? "" : "Content-Type: " + mediaType + "\r\n")
                    + "Transfer-Encoding: chunked\r\n\r\n";
        }

        private String chunked() {
            return (body.isEmpty() ? "" : chunk(body)) + end();
        }
    }
}
