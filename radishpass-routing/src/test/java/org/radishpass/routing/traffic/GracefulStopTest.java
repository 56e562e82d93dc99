package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.chunk;
import static org.radishpass.routing.testing.ResponseText.end;
import static org.radishpass.routing.testing.ResponseText.event;
import static org.radishpass.routing.testing.ResponseText.notRun;
import static org.radishpass.routing.testing.ResponseText.streamHead;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks what callers of a router that stops receive, at each time of the stop. */
final class GracefulStopTest {
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final Duration GRACE = Duration.ofSeconds(8);
    private static final long END_MILLIS = GRACE.toMillis() - StopDeadlines.END_MARGIN_MILLIS;

    private final TrafficFixture fixture;
    private final CompletableFuture<Integer> stopped = new CompletableFuture<>();
    private final CountDownLatch respond = new CountDownLatch(1);
    private long startMillis;

    GracefulStopTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        respond.countDown();
        fixture.close();
    }

    /** Guards against a request that a stopping router takes and that its end cuts off, although it could have been refused. */
    @ParameterizedTest
    @CsvSource({
        "1000, /once/, 2500, true",
        "2700, /stream/, 15000, true",
        "2700, /once/, 15000, true",
        "4900, /once/, 2500, true",
        "5100, /once/, 2500, false",
        "5100, /again/, 2500, false",
        "6800, /once/, 500, true",
        "7300, /once/, 100, false",
        "3000, /once/, 15000, false",
        "3000, /stream/, 15000, false",
        "3000, /resume/, 15000, false",
        "3000, /stream/, 3000, true",
    })
    void aRequestIsTakenOnlyIfItEndsBeforeTheRouter(long atMillis, String path, long patienceMillis, boolean taken)
            throws Exception {
        try (FakeEndpoint endpoint =
                        new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, event(1))));
                FakeEndpoint busy = new FakeEndpoint("b", (request, out) -> awaitQuietly(respond));
                TestCaller longRunning = fixture.configure(TIMEOUT_MILLIS, busy).caller();
                TestCaller caller = fixture.caller()) {
            longRunning.request("POST", "/stream/", "long", "x");
            busy.nextRequest();
            fixture.configure(TIMEOUT_MILLIS, endpoint);
            beginStop();
            advanceTo(atMillis);
            String response = caller.send("POST " + path + " HTTP/1.1\r\nHost: api\r\nX-Patience: " + patienceMillis
                            + "\r\n" + PlainDialect.ID + ": 7\r\nContent-Length: 0\r\n\r\n")
                    .readAll()
                    .toLowerCase(Locale.ROOT);
            assertThat(response).startsWith(taken ? "http/1.1 200" : "http/1.1 503");
            assertThat(response).contains("connection: close");
            assertThat(response.contains("retry-after: 0.0")).isEqualTo(!taken);
            assertThat(endpoint.pendingRequests()).isEqualTo(taken ? 1 : 0);
        }
    }

    /** Guards against refusing, for the sake of a deadline that they never need, requests that end long before the router. */
    @ParameterizedTest
    @CsvSource({"6500, /once/, 200", "7150, /once/, 503", "6500, /again/, 200", "5100, /stream/, 503"})
    void aRequestOfARouteWithShortResponsesIsTakenForLonger(long atMillis, String path, int status) throws Exception {
        try (FakeEndpoint endpoint =
                        new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, event(1))));
                FakeEndpoint busy = new FakeEndpoint("b", (request, out) -> awaitQuietly(respond));
                TestCaller longRunning = fixture.configure(TIMEOUT_MILLIS, busy).caller();
                TestCaller caller = fixture.caller()) {
            longRunning.request("POST", "/stream/", "long", "x");
            busy.nextRequest();
            fixture.configure(TIMEOUT_MILLIS, endpoint);
            for (int number = 0; number < 30; number++) {
                caller.request("POST", path, "r" + number, "x").readUntil("event 1\n\n");
            }
            beginStop();
            advanceTo(atMillis);
            try (TestCaller late = fixture.caller()) {
                assertThat(late.request("POST", path, "late", "x").readUntil("\r\n"))
                        .startsWith("HTTP/1.1 " + status);
            }
        }
    }

    /** Guards against a relayed request that is cut off although the router that relays it could have asked another one. */
    @Test
    void aRelayedRequestIsTakenOnlyIfItEndsBeforeTheRouter() throws Exception {
        FakeEndpoint closed = new FakeEndpoint("closed", (request, out) -> request.reset());
        closed.close();
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "done")));
                TrafficFixture cut = new TrafficFixture().configure(TIMEOUT_MILLIS, closed)) {
            try (TestCaller first = cut.caller()) {
                // the first request finds out that the endpoint is not reached
                first.request("GET", "/again/", "first", "").readUntil("\r\n\r\n");
            }
            fixture.configure(TIMEOUT_MILLIS, endpoint).peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
            cut.peers(1, fixture.serveRelayed(2));
            beginStop();
            try (TestCaller caller = cut.caller()) {
                caller.request("POST", "/once/", "7", "x").readUntil("503");
            }
            try (TestCaller caller = cut.caller()) {
                caller.send("POST /once/ HTTP/1.1\r\nHost: api\r\nX-Patience: 2500\r\n" + PlainDialect.ID
                                + ": 8\r\nContent-Length: 0\r\n\r\n")
                        .readUntil("done");
            }
            assertThat(endpoint.pendingRequests()).isEqualTo(1);
        }
    }

    /** Guards against a retry that is begun shortly before the end of the router and cut off by it. */
    @ParameterizedTest
    @CsvSource({"true, 503", "false, 502"})
    void aRequestIsNotSentAgainIfItMayNotEndBeforeTheRouter(boolean rejected, int status) throws Exception {
        FakeEndpoint.Script failing = (request, out) -> {
            awaitQuietly(respond);
            if (rejected) {
                write(out, notRun(request));
            } else {
                request.reset();
            }
        };
        try (FakeEndpoint one = new FakeEndpoint("a", failing);
                FakeEndpoint other = new FakeEndpoint("b", failing);
                TestCaller caller =
                        fixture.configure(TIMEOUT_MILLIS, one, other).caller()) {
            beginStop();
            caller.request("POST", "/again/", "7", "x");
            awaitRequest(one, other);
            advanceTo(5_000);
            respond.countDown();
            assertThat(caller.readAll()).startsWith("HTTP/1.1 " + status);
            assertThat(one.pendingRequests() + other.pendingRequests()).isEqualTo(1);
        }
    }

    /** Guards against connections that are closed in silence under requests which the router was still working on. */
    @Test
    void requestsInProgressAreAnsweredAtTheEnd() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    if (request.line().contains("/stream/")) {
                        write(out, streamHead(request) + chunk(event(1)));
                    }
                    awaitQuietly(respond);
                });
                TestCaller begun = fixture.configure(TIMEOUT_MILLIS, endpoint).caller();
                TestCaller sent = fixture.caller()) {
            begun.request("POST", "/stream/", "1", "x").readUntil("event 1");
            sent.request("POST", "/once/", "2", "x");
            endpoint.nextRequest();
            endpoint.nextRequest();
            beginStop();
            advanceTo(END_MILLIS);

            assertThat(stopped.get(20, TimeUnit.SECONDS)).isEqualTo(2);
            String failure = sent.readAll();
            assertThat(failure).startsWith("HTTP/1.1 502");
            assertThat(failure.toLowerCase(Locale.ROOT)).contains("connection: close");
            assertThat(begun.readAll()).doesNotContain("\r\n" + end());
        }
    }

    /** Guards against closing a connection that the load balancer has just opened, under the request that follows. */
    @Test
    void anIdleConnectionStaysOpenUntilTheRouterEnds() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    if (request.line().contains("/stream/")) {
                        awaitQuietly(respond);
                    }
                    write(out, whole(request, 200, "done"));
                });
                TestCaller longRunning =
                        fixture.configure(TIMEOUT_MILLIS, endpoint).caller();
                TestCaller early = fixture.caller();
                TestCaller late = fixture.caller()) {
            longRunning.request("POST", "/stream/", "1", "x");
            endpoint.nextRequest();
            beginStop();
            advanceTo(StopDeadlines.DRAIN_MILLIS);
            advanceTo(4_000);
            early.request("POST", "/once/", "2", "x");
            assertThat(early.readAll()).startsWith("HTTP/1.1 503");
            advanceTo(END_MILLIS - 100);
            late.request("POST", "/once/", "3", "x");
            assertThat(late.readAll()).startsWith("HTTP/1.1 503");
        }
    }

    /** Guards against dropping responses that have been written and that their caller has not read yet. */
    @Test
    void responsesThatACallerReadsSlowlyAreNotDropped() throws Exception {
        int responses = 200;
        String body = "x".repeat(60_000);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, body)));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            for (int number = 0; number < responses; number++) {
                caller.request("POST", "/once/", "r" + number, "");
            }
            for (int number = 0; number < responses; number++) {
                endpoint.nextRequest();
            }
            Thread.sleep(300); // the last response has been relayed as far as the caller's buffers allow
            beginStop();
            advanceTo(StopDeadlines.DRAIN_MILLIS);
            advanceTo(5_000);
            advanceTo(6_000);
            assertThat(stopped.isDone()).isFalse();
            String received = caller.readUntilCount(body, responses);
            assertThat(received.split("HTTP/1.1 200", -1)).hasLength(responses + 1);
        }
    }

    /** Guards against a stop whose steps begin anew with a second signal, so that the process is killed before its end. */
    @Test
    void aSecondSignalDoesNotPutOffTheEnd() throws Exception {
        fixture.configure(TIMEOUT_MILLIS);
        beginStop();
        advanceTo(4_000);
        fixture.server().beginStop(StopDeadlines.of(fixture.nowMillis(), GRACE));
        advanceTo(StopDeadlines.MIN_STOP_MILLIS);
        advanceTo(StopDeadlines.MIN_STOP_MILLIS + StopDeadlines.CLOSE_MILLIS + 200);
        assertThat(stopped.get(20, TimeUnit.SECONDS)).isEqualTo(0);
    }

    /** Guards against steps that are counted by timers: on a busy machine the first check may come after the end. */
    @Test
    void aLateCheckCatchesUpWithAllSteps() throws Exception {
        fixture.configure(TIMEOUT_MILLIS);
        beginStop();
        advanceTo(END_MILLIS + 10_000);
        assertThat(stopped.get(20, TimeUnit.SECONDS)).isEqualTo(0);
    }

    private void beginStop() {
        fixture.beginStop(GRACE);
        startMillis = fixture.nowMillis();
    }

    /** Advances the clock to a time after the signal, and carries out the steps of the stop that are due by then. */
    private void advanceTo(long millis) {
        fixture.advanceStop(Math.max(0, startMillis + millis - fixture.nowMillis()), stopped::complete);
    }

    private static void awaitRequest(FakeEndpoint one, FakeEndpoint other) throws InterruptedException {
        while (one.pendingRequests() + other.pendingRequests() == 0) {
            Thread.sleep(5);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
