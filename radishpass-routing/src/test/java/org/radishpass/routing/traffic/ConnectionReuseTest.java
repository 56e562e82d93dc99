package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.chunk;
import static org.radishpass.routing.testing.ResponseText.event;
import static org.radishpass.routing.testing.ResponseText.streamHead;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks which idle connections to endpoints are reused. */
final class ConnectionReuseTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private final TrafficFixture fixture;

    ConnectionReuseTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void reusesAConnectionThatWasJustUsed() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            caller.request("POST", "/once/", "1", "x").readUntil("ok");
            caller.request("POST", "/once/", "2", "x").readUntil("ok");
            assertThat(endpoint.nextRequest().firstOnConnection()).isTrue();
            assertThat(endpoint.nextRequest().firstOnConnection()).isFalse();
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
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller();
                TestCaller listener = fixture.caller()) {
            listener.request("POST", "/stream/", "1", "x").readUntil("event 1");
            caller.request("POST", "/once/", "2", "x").readUntil("ok");
            fixture.advanceClock(400);
            sendSecondEvent.countDown();
            listener.readUntil("event 2");
            caller.request("POST", "/once/", "3", "x").readUntil("ok");
            endpoint.nextRequest();
            endpoint.nextRequest();
            assertThat(endpoint.nextRequest().firstOnConnection()).isTrue();
        }
    }

    /**
     * Guards against the loss of a request that is written to an idle connection although a reset of that connection is
     * already waiting in the socket. The event loop processes the request first, since it arrived first.
     */
    @Test
    void sendsARequestOnANewConnectionIfTheIdleOneHasJustBeenReset() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> write(out, whole(request, 200, "ok")));
                TestCaller caller = fixture.configure(TIMEOUT_MILLIS, endpoint).caller()) {
            for (int attempt = 0; attempt < 5; attempt++) {
                caller.request("POST", "/once/", "first-" + attempt, "x").readUntil("ok");
                FakeEndpoint.ReceivedRequest first = endpoint.nextRequest();
                try (TrafficFixture.Blockage blockage = fixture.blockTrafficThread()) {
                    assertThat(blockage).isNotNull();
                    caller.request("POST", "/once/", "second-" + attempt, "x");
                    Thread.sleep(20);
                    first.reset();
                    Thread.sleep(20);
                }
                assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200");
                caller.readUntil("ok");
                assertThat(endpoint.nextRequest().firstOnConnection()).isTrue();
            }
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
