package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.Answers.whole;
import static org.radishpass.routing.testing.Answers.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficBed;

/** Checks what callers are told whose request ends its endpoints, and that others are served all the while. */
final class QuarantinedRequestTest {
    private static final long LONG = 20_000;
    private static final String POISON = "poison";

    /** Milliseconds in which an end is surely known: a connection over loopback is refused within one. */
    private static final long TO_LEARN_MILLIS = 300;

    private final TrafficBed bed;
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    QuarantinedRequestTest() throws Exception {
        bed = new TrafficBed();
    }

    @AfterEach
    void close() throws IOException {
        bed.close();
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    @Test
    void aRequestThatIsHeldBackIsRefusedAsNotRunAndToldToStayAway() throws Exception {
        startEndpoints(8);
        assertThat(ask("/once/", POISON)).startsWith("HTTP/1.1 502");
        assertThat(ask("/once/", POISON)).startsWith("HTTP/1.1 502");
        String answer = ask("/once/", POISON);
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(retryAfterSeconds(answer)).isAtLeast(60.0);
        assertThat(ended()).isEqualTo(2);
    }

    @Test
    void anotherBodyPathOrMethodIsAnotherRequest() throws Exception {
        startEndpoints(8);
        ask("/once/", POISON);
        ask("/once/", POISON);
        assertThat(ask("/once/", "harmless")).startsWith("HTTP/1.1 200");
        assertThat(ask("/once/x", "harmless")).startsWith("HTTP/1.1 200");
        assertThat(ask("/again/", "harmless")).startsWith("HTTP/1.1 200");
    }

    @Test
    void oneArrivalThatMayRunAgainEndsTwoEndpointsAtMostAndDoesNotClaimThatItHasNotRun() throws Exception {
        startEndpoints(8);
        assertThat(ask("/again/", POISON)).startsWith("HTTP/1.1 502");
        assertThat(ended()).isEqualTo(2);
        assertThat(ask("/again/", POISON)).startsWith("HTTP/1.1 503");
        assertThat(ended()).isEqualTo(2);
    }

    @Test
    void aRequestThatWasAtWorkAtAnEndIsTriedElsewhereAndThenClear() throws Exception {
        FakeEndpoint dying =
                new FakeEndpoint("dying", (request, out) -> endpoints.get(0).close());
        endpoints.add(dying);
        FakeEndpoint sound = sound("sound");
        bed.knows(LONG, dying, sound);
        for (int request = 0; request < 6; request++) {
            assertThat(ask("/again/", "innocent")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void answersThatBreakOffAtEndpointsThatLiveOnHoldNothingBack() throws Exception {
        for (int number = 0; number < 3; number++) {
            endpoints.add(new FakeEndpoint("resetting-" + number, (request, out) -> request.reset()));
        }
        bed.knows(LONG, endpoints.toArray(FakeEndpoint[]::new));
        for (int request = 0; request < 6; request++) {
            assertThat(ask("/once/", "innocent")).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void afterAWhileItIsTriedOnceMoreAndServedIfItIsHarmlessNow() throws Exception {
        startEndpoints(3);
        ask("/once/", POISON);
        ask("/once/", POISON);
        assertThat(ask("/once/", POISON)).startsWith("HTTP/1.1 503");
        bed.knows(LONG, sound("mended"));
        bed.skip(61_000);
        assertThat(ask("/once/", POISON)).startsWith("HTTP/1.1 200");
        assertThat(ask("/once/", POISON)).startsWith("HTTP/1.1 200");
    }

    private void startEndpoints(int count) throws IOException {
        for (int number = 0; number < count; number++) {
            int own = number;
            endpoints.add(new FakeEndpoint("endpoint-" + number, (request, out) -> {
                if (request.body().equals(POISON)) {
                    endpoints.get(own).close();
                } else {
                    write(out, whole(request, 200, "ok"));
                }
            }));
        }
        bed.knows(LONG, endpoints.toArray(FakeEndpoint[]::new));
    }

    private FakeEndpoint sound(String id) throws IOException {
        FakeEndpoint endpoint = new FakeEndpoint(id, (request, out) -> write(out, whole(request, 200, "ok")));
        endpoints.add(endpoint);
        return endpoint;
    }

    private String ask(String path, String body) throws Exception {
        try (TestCaller caller = bed.caller()) {
            String head = caller.request("POST", path, "r", body).readUntil("\r\n\r\n");
            caller.readBody(head);
            return head;
        } finally {
            Thread.sleep(TO_LEARN_MILLIS);
        }
    }

    private long ended() {
        return endpoints.stream().filter(FakeEndpoint::closed).count();
    }

    private static double retryAfterSeconds(String head) {
        for (String line : head.toLowerCase(Locale.ROOT).split("\r\n", -1)) {
            if (line.startsWith("retry-after:")) {
                return Double.parseDouble(
                        line.substring("retry-after:".length()).strip());
            }
        }
        return 0;
    }
}
