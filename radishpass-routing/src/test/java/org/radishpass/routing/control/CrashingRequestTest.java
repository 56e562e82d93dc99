package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

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
 * Checks that a request that crashes its endpoints ends only a few of them, whichever routers receive the request.
 *
 * <p>Guards against one request that ended thirteen endpoints of a service within twelve seconds. The caller sent the
 * request again about every second, through any router. Each arrival counted as a new request for the bound on attempts
 * and for the retry budget, and routers forgot the end of an endpoint together with the endpoint. So a router that had
 * seen the request end a third endpoint sent the request to a fifth.
 */
final class CrashingRequestTest {
    private static final String CRASHING_BODY = "poison";
    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 24;
    private static final int ARRIVALS = 10;

    /**
     * Maximum number of endpoints that may end: three until the request is quarantined, and three more while the
     * quarantine is distributed or the request is tried again.
     */
    private static final int MAX_ENDED_ENDPOINTS = 6;

    /** Milliseconds until the caller sends the request again: far less than the second or so of real callers. */
    private static final long RETRY_INTERVAL_MILLIS = 150;

    private final LoopbackFleet fleet = new LoopbackFleet();
    private final AtomicInteger endedEndpoints = new AtomicInteger();
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        fleet.close();
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    @Test
    void aCrashingStreamEndsFewEndpointsAcrossAllRouters() throws Exception {
        assertFewEndpointsEnd(RequestKind.STREAM);
    }

    @Test
    void aCrashingResumableStreamEndsFewEndpointsAcrossAllRouters() throws Exception {
        assertFewEndpointsEnd(RequestKind.RESUMABLE_STREAM);
    }

    @Test
    void otherRequestsAreServedWhileOneCrashesEndpoints() throws Exception {
        startFleet();
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            try (TestCaller caller = fleet.caller(arrival % ROUTERS)) {
                caller.request("POST", LoopbackFleet.path(RequestKind.NON_IDEMPOTENT), "r" + arrival, CRASHING_BODY)
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

    private void assertFewEndpointsEnd(RequestKind kind) throws Exception {
        startFleet();
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            try (TestCaller caller = fleet.caller(arrival % ROUTERS)) {
                caller.request("POST", LoopbackFleet.path(kind), "r" + arrival, CRASHING_BODY)
                        .readUntil("\r\n\r\n");
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
        assertWithMessage("endpoints that ended").that(endedEndpoints.get()).isAtMost(MAX_ENDED_ENDPOINTS);
    }

    private void startFleet() throws Exception {
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(crashing("endpoint-" + number));
        }
        fleet.listEndpoints(endpoints);
        for (int number = 0; number < ROUTERS; number++) {
            fleet.start();
        }
    }

    /** Returns an endpoint whose process ends when it begins to run the crashing request. */
    private FakeEndpoint crashing(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> {
            if (request.body().equals(CRASHING_BODY)) {
                end(id);
            } else {
                write(out, whole(request, 200, "ok"));
            }
        });
    }

    private void end(String id) throws IOException {
        endedEndpoints.incrementAndGet();
        endpoints.get(Integer.parseInt(id.substring(id.indexOf('-') + 1))).close();
    }
}
