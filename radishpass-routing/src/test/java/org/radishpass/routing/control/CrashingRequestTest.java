package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.radishpass.routing.testing.Answers.whole;
import static org.radishpass.routing.testing.Answers.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;

/**
 * A customer lost thirteen engines of one service within twelve seconds, twice in a day: one request ended each engine that began to
 * run it, and came again each second or so through any router. Each arrival was a new request to the bound on attempts and to the
 * retry budget, and an engine's end was forgotten with the engine: a router sent the same request to a fifth engine after it had seen it
 * end a third. Proved by the routers' logs, in which the arrivals share a fingerprint, and by this test.
 */
final class CrashingRequestTest {
    private static final String POISON = "poison";
    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 24;
    private static final int ARRIVALS = 10;

    /** Endpoints that may end under one request: three until it is known, three while that is being told or tried anew. */
    private static final int MOST_ENDS = 6;

    /** Milliseconds until a caller comes again: far less than the second or so that they take. */
    private static final long COMES_AGAIN_MILLIS = 150;

    private final LoopbackFleet fleet = new LoopbackFleet();
    private final AtomicInteger ends = new AtomicInteger();
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        fleet.close();
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    @Test
    void aRequestThatMayRunOnceReachesFewEndpointsWhicheverRouterItComesTo() throws Exception {
        reachesFewEndpoints(RequestKind.STREAM);
    }

    @Test
    void aRequestThatMayRunAgainReachesFewEndpointsWhicheverRouterItComesTo() throws Exception {
        reachesFewEndpoints(RequestKind.RESUMABLE_STREAM);
    }

    @Test
    void otherRequestsOfItsCallerAreServedAllTheWhile() throws Exception {
        startFleet();
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            try (TestCaller caller = fleet.caller(arrival % ROUTERS)) {
                caller.request("POST", LoopbackFleet.path(RequestKind.NON_IDEMPOTENT), "r" + arrival, POISON)
                        .readUntil("\r\n\r\n");
            }
            for (int router = 0; router < ROUTERS; router++) {
                try (TestCaller caller = fleet.caller(router)) {
                    String answer = caller.request(
                                    "POST", LoopbackFleet.path(RequestKind.IDEMPOTENT), "i" + arrival, "harmless")
                            .readUntil("\r\n\r\n");
                    assertThat(answer).startsWith("HTTP/1.1 200");
                }
            }
        }
    }

    private void reachesFewEndpoints(RequestKind kind) throws Exception {
        startFleet();
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            try (TestCaller caller = fleet.caller(arrival % ROUTERS)) {
                caller.request("POST", LoopbackFleet.path(kind), "r" + arrival, POISON)
                        .readUntil("\r\n\r\n");
            }
            Thread.sleep(COMES_AGAIN_MILLIS);
        }
        assertWithMessage("endpoints that ended").that(ends.get()).isAtMost(MOST_ENDS);
    }

    private void startFleet() throws Exception {
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(crashing("endpoint-" + number));
        }
        fleet.lists(endpoints);
        for (int number = 0; number < ROUTERS; number++) {
            fleet.start();
        }
    }

    /** An endpoint whose process ends when it begins to run the poisoned request. */
    private FakeEndpoint crashing(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> {
            if (request.body().equals(POISON)) {
                end(id);
            } else {
                write(out, whole(request, 200, "ok"));
            }
        });
    }

    private void end(String id) throws IOException {
        ends.incrementAndGet();
        endpoints.get(Integer.parseInt(id.substring(id.indexOf('-') + 1))).close();
    }
}
