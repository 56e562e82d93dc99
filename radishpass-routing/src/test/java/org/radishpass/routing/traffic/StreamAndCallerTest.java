package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.chunk;
import static org.radishpass.routing.testing.ResponseText.end;
import static org.radishpass.routing.testing.ResponseText.event;
import static org.radishpass.routing.testing.ResponseText.streamHead;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks streams and the connections of callers: failed streams, disconnects, pipelined requests and the stop of the
 * router.
 */
final class StreamAndCallerTest {
    private static final java.time.Duration GRACE = java.time.Duration.ofSeconds(8);
    private static final long TIMEOUT_MILLIS = 20_000;

    private final TrafficFixture fixture;

    StreamAndCallerTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /**
     * Guards against forwarding a request while the process is ending. The router had no request in progress when it
     * decided to stop, and a request arrived in the half second that the process took to end; the process ended before
     * the response.
     */
    @Test
    void aRequestCompletedAfterTheServerStoppedIsNotForwarded() throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    received.incrementAndGet();
                    write(out, whole(request, 200, "done"));
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/once/", "first", "x").readUntil("done");
            caller.send("POST /once/ HTTP/1.1\r\nHost: api\r\n" + PlainDialect.ID
                            + ": second\r\nExpect: 100-continue\r\n" + "Content-Length: 1\r\n\r\n")
                    .readUntil("100 Continue\r\n\r\n");
            fixture.beginStop(GRACE);
            CompletableFuture<Integer> stopped = new CompletableFuture<>();
            fixture.advanceStop(StopDeadlines.MIN_STOP_MILLIS, stopped::complete);

            assertThat(caller.send("x").readUntil("\r\n")).contains("503");
            assertThat(received.get()).isEqualTo(1);
            fixture.advanceStop(StopDeadlines.CLOSE_MILLIS, stopped::complete);
            assertThat(stopped.get(20, TimeUnit.SECONDS)).isEqualTo(0);
        }
    }

    @Test
    void aFailedStreamIsResumedAtAnotherEndpointWithoutLossOrRepetition() throws Exception {
        try (FakeEndpoint failing = new FakeEndpoint("a", (request, out) -> {
                    write(out, streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda"));
                    request.reset();
                });
                FakeEndpoint resuming = new FakeEndpoint("b", (request, out) -> {
                    int after = Integer.parseInt("0" + request.header(PlainDialect.AFTER));
                    StringBuilder events = new StringBuilder();
                    for (int id = after + 1; id <= 5; id++) {
                        events.append(chunk(event(id)));
                    }
                    write(out, streamHead(request) + events + end());
                });
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, failing, resuming).caller()) {
            for (int request = 0; request < 6; request++) {
                String response =
                        caller.request("POST", "/resume/", "r" + request, "x").readUntil("0\r\n\r\n");
                for (int id = 1; id <= 5; id++) {
                    assertThat(response.split("id: " + id + "\n", -1)).hasLength(2);
                }
            }
        }
    }

    @Test
    void aFailedStreamThatIsNotResumableIsAborted() throws Exception {
        try (FakeEndpoint failing = new FakeEndpoint("a", (request, out) -> {
                    write(out, streamHead(request) + chunk(event(1)));
                    request.reset();
                });
                FakeEndpoint other = new FakeEndpoint("b", (request, out) -> request.reset());
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, failing).caller()) {
            String response = caller.request("POST", "/stream/", "7", "x").readAll();
            assertThat(response).contains("event 1");
            assertThat(response).doesNotContain("0\r\n\r\n");
            assertThat(other.pendingRequests()).isEqualTo(0);
        }
    }

    @Test
    void theEndpointConnectionIsClosedWhenTheCallerDisconnects() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, streamHead(request)));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/stream/", "7", "x");
            FakeEndpoint.ReceivedRequest received = endpoint.nextRequest();
            caller.close();
            assertThat(received.connectionClosed.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void aStoppingRouterFinishesItsRequestsAndClosesConnections() throws Exception {
        java.util.concurrent.CountDownLatch respond = new java.util.concurrent.CountDownLatch(1);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    awaitQuietly(respond);
                    write(out, whole(request, 200, "ok"));
                });
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/once/", "7", "x");
            endpoint.nextRequest();
            fixture.beginStop(GRACE);
            CompletableFuture<Integer> stopped = new CompletableFuture<>();
            fixture.advanceStop(StopDeadlines.MIN_STOP_MILLIS, stopped::complete);
            long shortOfEndMillis =
                    GRACE.toMillis() - StopDeadlines.END_MARGIN_MILLIS - StopDeadlines.MIN_STOP_MILLIS - 100;
            fixture.advanceStop(shortOfEndMillis, stopped::complete);
            respond.countDown();
            String response = caller.readAll();
            fixture.advanceStop(0, stopped::complete);
            fixture.advanceStop(StopDeadlines.CLOSE_MILLIS, stopped::complete);
            assertThat(stopped.get(20, TimeUnit.SECONDS)).isEqualTo(0);
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (FakeEndpoint endpoint =
                        new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, request.body())));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/once/", "1", "first").request("POST", "/once/", "2", "second");
            assertThat(caller.readUntil("first")).contains("X-Id: 1");
            assertThat(caller.readUntil("second")).contains("X-Id: 2");
        }
    }

    @Test
    void aBodyOverTheLimitIsRefusedAndNotForwarded() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertThat(caller.request("POST", "/once/", "7", "x".repeat(10_001)).readUntil("\r\n\r\n"))
                    .startsWith("HTTP/1.1 413");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    private static void awaitQuietly(java.util.concurrent.CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
