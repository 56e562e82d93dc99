package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks admission with real connections: many requests are read in one iteration of the event loop. */
final class AdmissionOverLoopbackTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Several times the number of requests that start in one iteration; below the queue limit of four endpoints. */
    private static final int CALLERS = 3 * ArrivalQueue.MAX_STARTS_PER_ITERATION;

    /** So many that starting the first ones takes longer than the others wait. */
    private static final int MANY_CALLERS = 200;

    private static final String REFUSED_FOR_LOAD = "the router cannot serve the request in time";

    private final TrafficFixture fixture;

    AdmissionOverLoopbackTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Guards against requests that wait for the event loop and are never answered or answered twice. */
    @Test
    void everyRequestOfABacklogIsServedIfItsCallerWaitsLongEnough() throws Exception {
        try (FakeEndpoint endpoint = endpoint("a");
                FakeEndpoint second = endpoint("b");
                FakeEndpoint third = endpoint("c");
                FakeEndpoint fourth = endpoint("d")) {
            fixture.configure(TIMEOUT_MILLIS, endpoint, second, third, fourth);
            List<String> heads = answers(CALLERS, "X-Patience: 15000\r\n");
            assertThat(heads.stream().filter(head -> head.startsWith("HTTP/1.1 200")))
                    .hasSize(CALLERS);
            int received = endpoint.pendingRequests()
                    + second.pendingRequests()
                    + third.pendingRequests()
                    + fourth.pendingRequests();
            assertThat(received).isEqualTo(CALLERS);
        }
    }

    /** Guards against starting requests whose callers no longer wait once it is their turn. */
    @Test
    void requestsThatCannotBeServedInTimeAreRefusedAndNotForwarded() throws Exception {
        try (FakeEndpoint endpoint = endpoint("a")) {
            fixture.configure(TIMEOUT_MILLIS, endpoint);
            List<String> answers = answers(MANY_CALLERS, "X-Patience: 1\r\n");
            List<String> refused = answers.stream()
                    .filter(answer -> answer.contains(REFUSED_FOR_LOAD))
                    .toList();
            assertThat(refused).isNotEmpty();
            for (String answer : refused) {
                assertThat(answer).startsWith("HTTP/1.1 503");
                assertThat(answer.toLowerCase(java.util.Locale.ROOT)).contains("retry-after:");
            }
            assertThat(endpoint.pendingRequests()).isAtMost(MANY_CALLERS - refused.size());
        }
    }

    /** Guards against refusals by a router whose operator has disabled admission. */
    @Test
    void nothingIsRefusedBeforeItsStartWithoutAdmission() throws Exception {
        fixture.server().admissionEnabled(false);
        try (FakeEndpoint endpoint = endpoint("a")) {
            fixture.configure(TIMEOUT_MILLIS, endpoint);
            assertThat(answers(MANY_CALLERS, "X-Patience: 1\r\n").stream()
                            .filter(answer -> answer.contains(REFUSED_FOR_LOAD)))
                    .isEmpty();
        }
    }

    /** Guards against pipelined requests that are lost after a refusal. */
    @Test
    void aConnectionServesItsNextRequestAfterARefusal() throws Exception {
        try (FakeEndpoint endpoint = endpoint("a");
                FakeEndpoint second = endpoint("b");
                FakeEndpoint third = endpoint("c");
                FakeEndpoint fourth = endpoint("d")) {
            fixture.configure(TIMEOUT_MILLIS, endpoint, second, third, fourth);
            List<TestCaller> callers = connect(CALLERS);
            send(callers, "X-Patience: 1\r\n");
            send(callers, "X-Patience: 15000\r\n");
            for (TestCaller caller : callers) {
                readAnswer(caller);
                assertThat(readAnswer(caller)).startsWith("HTTP/1.1 200");
                caller.close();
            }
        }
    }

    private List<String> answers(int count, String header) throws Exception {
        List<TestCaller> callers = connect(count);
        send(callers, header);
        List<String> answers = new ArrayList<>();
        for (TestCaller caller : callers) {
            answers.add(readAnswer(caller));
            caller.close();
        }
        return answers;
    }

    private List<TestCaller> connect(int count) throws IOException {
        List<TestCaller> callers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            callers.add(fixture.caller());
        }
        return callers;
    }

    private void send(List<TestCaller> callers, String header) throws Exception {
        try (TrafficFixture.Blockage blockage = fixture.blockTrafficThread()) {
            for (TestCaller caller : callers) {
                caller.send("GET /again/x HTTP/1.1\r\nHost: api\r\n" + header + PlainDialect.ID + ": r\r\n\r\n");
            }
        }
    }

    private static String readAnswer(TestCaller caller) throws IOException {
        String head = caller.readUntil("\r\n\r\n");
        return head + caller.readBody(head);
    }

    private static FakeEndpoint endpoint(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> write(out, whole(request, 200, "ok")));
    }
}
