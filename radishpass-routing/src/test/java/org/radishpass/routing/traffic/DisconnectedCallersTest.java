package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Guards against forwarding requests of callers that have disconnected. After a power failure of all routers, 146 such
 * requests were forwarded, one of them 2.5 s after its deadline; in the log of one router they were 41 of 73 forwarded
 * requests. Requests and closes had been waiting in the sockets of routers that received processor time late, and each
 * iteration of the event loop forwarded the requests it had read before it processed the closes.
 */
final class DisconnectedCallersTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Several times the number of requests that start in one iteration of the event loop. */
    private static final int CALLERS = 4 * ArrivalQueue.MAX_STARTS_PER_ITERATION;

    private final TrafficFixture fixture;

    DisconnectedCallersTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/once/x"})
    void requestsOfCallersThatDisconnectedDuringAPauseAreNotForwarded(String path) throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller connectedCaller =
                        fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertAnswered(connectedCaller, path, "warm");
            endpoint.nextRequest();
            try (TrafficFixture.Blockage blockage = fixture.blockTrafficThread()) {
                connectAndDisconnectCallers(path);
            }
            assertAnswered(connectedCaller, path, "stays");
            assertThat(endpoint.nextRequest().header("X-Id")).isEqualTo("stays");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/once/x"})
    void requestsOfCallersThatDisconnectWhileAnEndpointConnectionIsEstablishedAreNotForwarded(String path)
            throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller connectedCaller =
                        fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            List<TestCaller> disconnecting = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                disconnecting.add(fixture.caller());
            }
            try (TrafficFixture.Blockage blockage = fixture.blockTrafficThread()) {
                for (TestCaller caller : disconnecting) {
                    caller.request("GET", path, "leaves", "").close();
                }
            }
            assertAnswered(connectedCaller, path, "stays");
            assertThat(endpoint.nextRequest().header("X-Id")).isEqualTo("stays");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    private void connectAndDisconnectCallers(String path) throws IOException {
        for (int caller = 0; caller < CALLERS; caller++) {
            fixture.caller().request("GET", path, "leaves", "").close();
        }
    }

    private static void assertAnswered(TestCaller caller, String path, String id) throws IOException {
        String head = caller.request("GET", path, id, "").readUntil("\r\n\r\n");
        caller.readBody(head);
        assertThat(head).startsWith("HTTP/1.1 200");
    }

    private static FakeEndpoint endpoint() throws IOException {
        return new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
    }
}
