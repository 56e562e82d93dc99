package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.Answers.whole;
import static org.radishpass.routing.testing.Answers.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficBed;

/**
 * After a loss of power of all routers 146 requests were sent on although their callers had left, one of them 2.5 s after its deadline.
 * Requests and closes had been waiting in the sockets of routers that got the processor late; each pass of the traffic thread sent what
 * it had read before it came to the closes. Logs of one router showed 41 of 73 requests sent so.
 */
final class CallersThatLeftTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Several times what begins in one pass of the traffic thread. */
    private static final int CALLERS = 4 * ArrivalQueue.MOST_IN_PASS;

    private final TrafficBed bed;

    CallersThatLeftTest() throws Exception {
        bed = new TrafficBed();
    }

    @AfterEach
    void close() {
        bed.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/once/x"})
    void nothingIsSentForCallersThatLeftWhileTheThreadStoodStill(String path) throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller stays = bed.knows(TIMEOUT_MILLIS, endpoint).caller()) {
            answered(stays, path, "warm");
            endpoint.next();
            try (TrafficBed.Standstill standstill = bed.standStill()) {
                callersComeAndLeave(path);
            }
            answered(stays, path, "stays");
            assertThat(endpoint.next().header("X-Id")).isEqualTo("stays");
            assertThat(endpoint.unseen()).isEqualTo(0);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/once/x"})
    void nothingIsSentForCallersThatLeaveWhileTheirConnectionsAreMade(String path) throws Exception {
        try (FakeEndpoint endpoint = endpoint();
                TestCaller stays = bed.knows(TIMEOUT_MILLIS, endpoint).caller()) {
            List<TestCaller> leaving = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                leaving.add(bed.caller());
            }
            try (TrafficBed.Standstill standstill = bed.standStill()) {
                for (TestCaller caller : leaving) {
                    caller.request("GET", path, "leaves", "").close();
                }
            }
            answered(stays, path, "stays");
            assertThat(endpoint.next().header("X-Id")).isEqualTo("stays");
            assertThat(endpoint.unseen()).isEqualTo(0);
        }
    }

    private void callersComeAndLeave(String path) throws IOException {
        for (int caller = 0; caller < CALLERS; caller++) {
            bed.caller().request("GET", path, "leaves", "").close();
        }
    }

    private static void answered(TestCaller caller, String path, String id) throws IOException {
        String head = caller.request("GET", path, id, "").readUntil("\r\n\r\n");
        caller.readBody(head);
        assertThat(head).startsWith("HTTP/1.1 200");
    }

    private static FakeEndpoint endpoint() throws IOException {
        return new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
    }
}
