package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Guards against denials by an outdated configuration. Restarted routers on an eighth of a core received a new
 * configuration every second; one of them still used version 49 when version 52 had been acknowledged 4 s before. It
 * denied routes and keys that version 52 allows, and callers do not retry after a denial.
 */
final class NewerConfigurationTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long EXPECTED_WITHIN_MILLIS = 5_000;

    private final TrafficFixture fixture;

    NewerConfigurationTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void doesNotDenyWhatAnExpectedNewerConfigurationMayAllow() throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            assertThat(status(caller, "/new/x")).isEqualTo("HTTP/1.1 404");
            fixture.expectNewerConfiguration(EXPECTED_WITHIN_MILLIS);
            assertThat(status(caller, "/new/x")).isEqualTo("HTTP/1.1 503");
            assertThat(status(caller, "/again/x")).isEqualTo("HTTP/1.1 200");
        }
    }

    @Test
    void deniesAgainIfTheNewerConfigurationDoesNotArrive() throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint)
                        .expectNewerConfiguration(EXPECTED_WITHIN_MILLIS)
                        .caller()) {
            fixture.advanceClock(EXPECTED_WITHIN_MILLIS + 1);
            assertThat(status(caller, "/new/x")).isEqualTo("HTTP/1.1 404");
        }
    }

    private static String status(TestCaller caller, String path) throws IOException {
        String head = caller.request("GET", path, "r", "").readUntil("\r\n\r\n");
        caller.readBody(head);
        return head.substring(0, head.indexOf(' ', head.indexOf(' ') + 1));
    }

    private static FakeEndpoint endpoint() throws IOException {
        return new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
    }
}
