package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.event;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks that requests are served although a balancer hands most connections of callers to one router.
 *
 * <p>Guards against requests that are refused at one router, whose share of each endpoint's connections is that of an
 * even spread, while the shares of the other routers are idle.
 */
final class ConnectionSkewTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** A cap of which each of the routers has a share of three connections. */
    private static final int CAP = 40;

    private static final int ROUTERS = 8;
    private static final int REQUESTS = 6;

    private final TrafficFixture hot = new TrafficFixture().cap(CAP, ROUTERS);
    private final TrafficFixture idle = new TrafficFixture().cap(CAP, ROUTERS);
    private final CountDownLatch allArrived = new CountDownLatch(REQUESTS);
    private final List<TestCaller> callers = new ArrayList<>();

    ConnectionSkewTest() throws Exception {
        // the fixtures start
    }

    @AfterEach
    void close() throws IOException {
        for (TestCaller caller : callers) {
            caller.close();
        }
        hot.close();
        idle.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/", "/again/", "/stream/"})
    void requestsBeyondTheShareOfTheirRouterAreServedThroughAnother(String path) throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("a", (request, out) -> {
            allArrived.countDown();
            awaitAll();
            write(out, whole(request, 200, event(1)));
        })) {
            idle.configure(TIMEOUT_MILLIS, endpoint);
            hot.configure(TIMEOUT_MILLIS, endpoint).peers(1, idle.serveRelayed(2));
            idle.peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
            for (int request = 0; request < REQUESTS; request++) {
                TestCaller caller = hot.caller();
                callers.add(caller);
                caller.request("POST", path, "r" + request, "x");
            }
            for (TestCaller caller : callers) {
                assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200");
            }
        }
    }

    private void awaitAll() {
        try {
            allArrived.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
