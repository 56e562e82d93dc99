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
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;

/**
 * Checks that requests that share a part of their prompts that crashes endpoints end only a few of them, and that other
 * requests with the same other parts are served.
 *
 * <p>Guards against 18 engines that one part of prompts crashed within 32 seconds. No two of the requests were equal, so
 * each was new to the quarantine of requests at every router.
 */
final class CrashingPromptPartTest {
    private static final String CRASHING_PART = "c0";
    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 40;
    private static final int ARRIVALS = 30;

    /** The maximum number of endpoints that may end: five until the part is quarantined, and three more afterwards. */
    private static final int MAX_ENDED_ENDPOINTS = 8;

    /** Milliseconds between two requests with the crashing part. */
    private static final long ARRIVAL_INTERVAL_MILLIS = 150;

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
    void aCrashingPartOfRequestsThatRunOnceEndsFewEndpointsAcrossAllRouters() throws Exception {
        assertFewEndpointsEnd(RequestKind.NON_IDEMPOTENT);
    }

    @Test
    void aCrashingPartOfRequestsThatMayRunAgainEndsFewEndpointsAcrossAllRouters() throws Exception {
        assertFewEndpointsEnd(RequestKind.IDEMPOTENT);
    }

    private void assertFewEndpointsEnd(RequestKind kind) throws Exception {
        startFleet();
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            String sharedParts = "a0,b" + arrival % 2;
            send(arrival % ROUTERS, kind, "crashing" + arrival, sharedParts + ',' + CRASHING_PART + ",d" + arrival);
            for (int router = 0; router < ROUTERS; router++) {
                String response = send(
                        router, RequestKind.IDEMPOTENT, "sound" + arrival, sharedParts + ",e" + arrival + '-' + router);
                assertThat(response).startsWith("HTTP/1.1 200");
            }
            Thread.sleep(ARRIVAL_INTERVAL_MILLIS);
        }
        assertWithMessage("endpoints that ended").that(endedEndpoints.get()).isAtMost(MAX_ENDED_ENDPOINTS);
    }

    /** Sends a request whose prompt has the given parts; returns the head of the response. */
    private String send(int router, RequestKind kind, String id, String parts) throws IOException {
        try (TestCaller caller = fleet.caller(router)) {
            return caller.send("POST " + LoopbackFleet.path(kind) + id + " HTTP/1.1\r\nHost: api\r\n"
                            + PlainDialect.ID + ": " + id + "\r\n" + PlainDialect.PROMPT + ": " + parts
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .readUntil("\r\n\r\n");
        }
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

    /** Returns an endpoint whose process ends when it begins to answer a prompt with the crashing part. */
    private FakeEndpoint crashing(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> {
            if (request.header(PlainDialect.PROMPT).contains(CRASHING_PART)) {
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
