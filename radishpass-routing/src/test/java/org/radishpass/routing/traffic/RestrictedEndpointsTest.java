package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks how requests are placed while endpoints are in a drained data centre, or have just started. */
final class RestrictedEndpointsTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long COLD_MILLIS = 60_000;

    /** The number of requests per second that this router alone may send to a cold endpoint. */
    private static final int COLD_REQUESTS_PER_SECOND = 2;

    private final TrafficFixture fixture;

    RestrictedEndpointsTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/once/x", "/stream/x", "/resume/x"})
    void refusesARequestAsNotRunIfEveryDataCentreIsDrained(String path) throws Exception {
        try (FakeEndpoint endpoint = endpoint("a");
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint)
                        .restrict(new EndpointEligibility(Set.of(new DataCentre("here")), Map.of(), RegionMap.EMPTY))
                        .caller()) {
            String head = caller.request("GET", path, "r", "").readUntil("\r\n\r\n");
            assertThat(head).startsWith("HTTP/1.1 503");
            assertThat(head).contains("retry-after");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    @Test
    void sendsAllRequestsToWarmEndpointsWhileTheyHaveCapacity() throws Exception {
        try (FakeEndpoint warm = endpoint("a");
                FakeEndpoint cold = endpoint("b");
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, warm, cold)
                        .restrict(cold("b"))
                        .caller()) {
            for (int request = 0; request < 20; request++) {
                assertThat(status(caller, "/again/x")).isEqualTo("HTTP/1.1 200");
            }
            assertThat(cold.pendingRequests()).isEqualTo(0);
        }
    }

    @Test
    void limitsTheRequestsToTheOnlyEndpointWhileItIsCold() throws Exception {
        try (FakeEndpoint cold = endpoint("b");
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, cold)
                        .restrict(cold("b"))
                        .caller()) {
            for (int request = 0; request < COLD_REQUESTS_PER_SECOND; request++) {
                assertThat(status(caller, "/once/x")).isEqualTo("HTTP/1.1 200");
            }
            assertThat(status(caller, "/once/x")).isEqualTo("HTTP/1.1 503");
            assertThat(cold.pendingRequests()).isEqualTo(COLD_REQUESTS_PER_SECOND);

            fixture.advanceClock(2_000);
            assertThat(status(caller, "/once/x")).isEqualTo("HTTP/1.1 200");
            fixture.advanceClock(COLD_MILLIS);
            for (int request = 0; request < 3 * COLD_REQUESTS_PER_SECOND; request++) {
                assertThat(status(caller, "/once/x")).isEqualTo("HTTP/1.1 200");
            }
        }
    }

    private EndpointEligibility cold(String id) {
        return new EndpointEligibility(Set.of(), Map.of(id, fixture.nowMillis() + COLD_MILLIS), RegionMap.EMPTY);
    }

    private static String status(TestCaller caller, String path) throws IOException {
        String head = caller.request("GET", path, "r", "").readUntil("\r\n\r\n");
        caller.readBody(head);
        return head.substring(0, head.indexOf(' ', head.indexOf(' ') + 1));
    }

    private static FakeEndpoint endpoint(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> write(out, whole(request, 200, "ok")));
    }
}
