package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks what happens to requests when an endpoint accepts no more connections. */
final class ConnectionCapTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** A cap of which each of the routers has a share of two connections. */
    private static final int CAP = 400;

    private static final int ROUTERS = 115;

    private final TrafficFixture fixture;
    private final CountDownLatch respond = new CountDownLatch(1);
    private final List<TestCaller> callers = new ArrayList<>();

    ConnectionCapTest() throws Exception {
        fixture = new TrafficFixture().cap(CAP, ROUTERS);
    }

    @AfterEach
    void close() throws IOException {
        respond.countDown();
        for (TestCaller caller : callers) {
            caller.close();
        }
        fixture.close();
    }

    /** Guards against an ejected endpoint, and requests lost elsewhere, because an endpoint was at its cap. */
    @Test
    void anEndpointThatResetsSurplusConnectionsIsNotFailing() throws Exception {
        AtomicInteger resets = new AtomicInteger(8);
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
            if (request.line().contains("/stream/")) {
                awaitQuietly();
            } else if (resets.getAndDecrement() > 0) {
                request.reset();
            }
            write(out, whole(request, 200, "ok"));
        })) {
            fixture.cap(900, 100).attempts(1).configure(TIMEOUT_MILLIS, endpoint);
            for (int stream = 0; stream < 3; stream++) {
                send("/stream/", "s" + stream);
                endpoint.nextRequest();
            }
            for (int request = 0; request < 500 && resets.get() > 0; request++) {
                fixture.advanceClock(3_000);
                try (TestCaller caller = fixture.caller()) {
                    caller.request("POST", "/once/", "r" + request, "x").readUntil("\r\n\r\n");
                }
                assertThat(fixture.failingEndpoints()).isEmpty();
            }
            assertThat(resets.get()).isAtMost(0);
        }
    }

    /** Guards against resets by the cap, and against requests that are refused although a connection is about to end. */
    @Test
    void aRequestBeyondTheShareWaitsForAConnectionThatBecomesIdle() throws Exception {
        try (FakeEndpoint endpoint = endpointThatWaits("a")) {
            fixture.target(TIMEOUT_MILLIS).configure(TIMEOUT_MILLIS, endpoint);
            TestCaller first = send("/once/", "1");
            TestCaller second = send("/once/", "2");
            endpoint.nextRequest();
            endpoint.nextRequest();
            TestCaller third = send("/once/", "3");
            respond.countDown();
            first.readUntil("ok");
            second.readUntil("ok");
            third.readUntil("ok");
            assertThat(endpoint.nextRequest().firstOnConnection()).isFalse();
        }
    }

    /** Guards against a request that is held until its deadline, or refused while another endpoint is free. */
    @Test
    void aRequestBeyondTheShareIsPlacedElsewhere() throws Exception {
        try (FakeEndpoint endpoint = endpointThatWaits("a");
                FakeEndpoint other = endpointThatWaits("b")) {
            fixture.target(200).configure(TIMEOUT_MILLIS, endpoint, other);
            for (int request = 0; request < 4; request++) {
                send("/once/", "r" + request);
            }
            endpoint.nextRequest();
            endpoint.nextRequest();
            other.nextRequest();
            other.nextRequest();
        }
    }

    /** Guards against a refusal that does not state that the request was not run, so that the caller gives up. */
    @Test
    void aRequestForWhichNoEndpointHasAConnectionIsRefusedAsNotRun() throws Exception {
        try (FakeEndpoint endpoint = endpointThatWaits("a")) {
            fixture.target(200).configure(TIMEOUT_MILLIS, endpoint);
            send("/once/", "1");
            send("/once/", "2");
            endpoint.nextRequest();
            endpoint.nextRequest();
            String response = send("/once/", "3").readUntil("}");
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("retry-after");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    private FakeEndpoint endpointThatWaits(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> {
            awaitQuietly();
            write(out, whole(request, 200, "ok"));
        });
    }

    private void awaitQuietly() {
        try {
            respond.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private TestCaller send(String path, String id) throws Exception {
        TestCaller caller = fixture.caller();
        callers.add(caller);
        return caller.request("POST", path, id, "x");
    }
}
