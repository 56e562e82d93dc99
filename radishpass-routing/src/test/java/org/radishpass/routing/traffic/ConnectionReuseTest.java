package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.Answers.chunk;
import static org.radishpass.routing.testing.Answers.event;
import static org.radishpass.routing.testing.Answers.streamHead;
import static org.radishpass.routing.testing.Answers.whole;
import static org.radishpass.routing.testing.Answers.write;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficBed;

/** Checks which idle connections to endpoints are reused. */
final class ConnectionReuseTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private final TrafficBed bed;

    ConnectionReuseTest() throws Exception {
        bed = new TrafficBed();
    }

    @AfterEach
    void close() {
        bed.close();
    }

    @Test
    void reusesAConnectionThatWasJustUsed() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = bed.knows(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/once/", "1", "x").readUntil("ok");
            caller.request("POST", "/once/", "2", "x").readUntil("ok");
            assertThat(endpoint.next().firstOnConnection()).isTrue();
            assertThat(endpoint.next().firstOnConnection()).isFalse();
        }
    }

    @Test
    void sendsANonRetryableRequestOnANewConnectionIfTheIdleOneMayHaveBeenDropped() throws Exception {
        CountDownLatch sendSecondEvent = new CountDownLatch(1);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
                    if (request.line().contains("/stream/")) {
                        write(out, streamHead(request) + chunk(event(1)));
                        awaitQuietly(sendSecondEvent);
                        write(out, chunk(event(2)));
                    } else {
                        write(out, whole(request, 200, "ok"));
                    }
                });
                TestCaller caller = bed.knows(TIMEOUT_MILLIS, endpoint).caller();
                TestCaller listener = bed.caller()) {
            listener.request("POST", "/stream/", "1", "x").readUntil("event 1");
            caller.request("POST", "/once/", "2", "x").readUntil("ok");
            bed.skip(400);
            sendSecondEvent.countDown();
            listener.readUntil("event 2");
            caller.request("POST", "/once/", "3", "x").readUntil("ok");
            endpoint.next();
            endpoint.next();
            assertThat(endpoint.next().firstOnConnection()).isTrue();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
