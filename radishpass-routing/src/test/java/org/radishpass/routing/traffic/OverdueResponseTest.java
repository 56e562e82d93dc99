package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks how requests are handled whose endpoint accepts connections but does not respond, once the usual response time
 * of the route is known.
 */
final class OverdueResponseTest {
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 1_500;

    /** Number of requests after which the usual response time of a route is known; more than needed. */
    private static final int TRAINING_REQUESTS = 40;

    private final AtomicInteger unansweredRequests = new AtomicInteger();
    private final TrafficFixture fixture;

    OverdueResponseTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void retriesARetryableRequestAtAnotherEndpointWhenTheResponseIsOverdue() throws Exception {
        try (FakeEndpoint first = endpoint("a");
                FakeEndpoint second = endpoint("b");
                TestCaller caller =
                        fixture.configure(LONG_TIMEOUT_MILLIS, first, second).caller()) {
            measureUsualResponseTime(caller, "/again/x");
            unansweredRequests.set(1);
            assertThat(status(caller, "/again/silent")).isEqualTo("HTTP/1.1 200");
            assertThat(first.pendingRequests() + second.pendingRequests()).isEqualTo(TRAINING_REQUESTS + 2);
        }
    }

    @Test
    void doesNotRetryANonRetryableRequest() throws Exception {
        try (FakeEndpoint first = endpoint("a");
                FakeEndpoint second = endpoint("b");
                TestCaller caller =
                        fixture.configure(SHORT_TIMEOUT_MILLIS, first, second).caller()) {
            measureUsualResponseTime(caller, "/once/x");
            unansweredRequests.set(1);
            assertThat(status(caller, "/once/silent")).isEqualTo("HTTP/1.1 504");
            assertThat(first.pendingRequests() + second.pendingRequests()).isEqualTo(TRAINING_REQUESTS + 1);
        }
    }

    @Test
    void doesNotRetryWithoutAnotherEndpoint() throws Exception {
        try (FakeEndpoint first = endpoint("a");
                TestCaller caller =
                        fixture.configure(SHORT_TIMEOUT_MILLIS, first).caller()) {
            measureUsualResponseTime(caller, "/again/x");
            unansweredRequests.set(1);
            assertThat(status(caller, "/again/silent")).isEqualTo("HTTP/1.1 504");
            assertThat(first.pendingRequests()).isEqualTo(TRAINING_REQUESTS + 1);
        }
    }

    private void measureUsualResponseTime(TestCaller caller, String path) throws Exception {
        for (int request = 0; request < TRAINING_REQUESTS; request++) {
            assertThat(status(caller, path)).isEqualTo("HTTP/1.1 200");
        }
    }

    private static String status(TestCaller caller, String path) throws Exception {
        String response = caller.request("GET", path, "r", "").readUntil("\r\n\r\n");
        caller.readBody(response);
        return response.substring(0, response.indexOf(' ', response.indexOf(' ') + 1));
    }

    /**
     * Creates an endpoint that responds immediately, except to the first {@link #unansweredRequests} requests for a
     * path that contains "silent".
     */
    private FakeEndpoint endpoint(String id) throws java.io.IOException {
        return new FakeEndpoint(id, (request, out) -> {
            boolean responds = !request.line().contains("silent") || unansweredRequests.getAndDecrement() <= 0;
            if (responds) {
                write(out, whole(request, 200, "answer"));
            }
        });
    }
}
