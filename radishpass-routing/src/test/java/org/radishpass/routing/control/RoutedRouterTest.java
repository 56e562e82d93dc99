package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.TrafficSplit;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.FakeStore;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.traffic.CallerSocket;
import reactor.netty.resources.LoopResources;

/**
 * Checks complete routers over loopback that share a store, and routers that have lost the store. Configurations in
 * this test are texts of the form {@code VERSION:PREFIX}, with one route for the prefix.
 */
final class RoutedRouterTest {
    private static final String SERVICE = "service";
    private static final int MAX_ATTEMPTS = 20_000;
    private static final long ATTEMPT_INTERVAL_MILLIS = 1;

    private final FakeStore store = new FakeStore();
    private final LoopResources loops = LoopResources.create("test", 2, 2, true, false);
    private final List<RoutedRouter> routers = new ArrayList<>();

    @AfterEach
    void close() {
        routers.forEach(RoutedRouter::close);
        loops.dispose();
    }

    @Test
    void aRouterServesWhatTheStorePublishes() throws Exception {
        try (FakeEndpoint endpoint = answering("first")) {
            store.publish("1:/a/");
            store.list(endpoint.endpoint(SERVICE));
            int router = start(store.link(), List.of()).port();
            awaitStatus(router, "/a/", 200);
            store.publish("2:/b/");
            awaitStatus(router, "/b/", 200);
            awaitStatus(router, "/a/", 404);
        }
    }

    @Test
    void aRouterWithoutConfigurationAnswers503() throws Exception {
        int router = start(store.link().cut(true), List.of()).port();
        awaitStatus(router, "/a/", 503);
    }

    @Test
    void aRouterCutOffFromTheStoreTakesConfigurationAndEndpointsFromAPeer() throws Exception {
        try (FakeEndpoint endpoint = answering("first");
                FakeEndpoint next = answering("next")) {
            store.publish("1:/a/");
            store.list(endpoint.endpoint(SERVICE));
            Started reader = start(store.link(), List.of());
            int cutOff =
                    start(store.link().cut(true), List.of(reader.peerAddress())).port();
            awaitStatus(cutOff, "/a/", 200);

            endpoint.close();
            store.list(next.endpoint(SERVICE));
            store.publish("2:/b/");
            awaitStatus(cutOff, "/b/", 200);
        }
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() throws Exception {
        try (FakeEndpoint endpoint = answering("first")) {
            store.publish("5:/new/");
            store.list(endpoint.endpoint(SERVICE));
            Started first = start(store.link(), List.of());
            awaitStatus(first.port(), "/new/", 200);
            store.publish("4:/old/");
            Started second = start(store.link(), List.of(first.peerAddress()));
            awaitStatus(second.port(), "/new/", 200);
            awaitStatus(first.port(), "/old/", 404);
            awaitStatus(first.port(), "/new/", 200);
        }
    }

    @Test
    void aRouterCutOffFromTheStoreLearnsFromItsGathererInALargeFleet() throws Exception {
        try (FakeEndpoint endpoint = answering("first")) {
            store.publish("1:/a/");
            store.list(endpoint.endpoint(SERVICE));
            List<Address> seeds = new ArrayList<>();
            for (int number = 0; number <= GatheringPlan.MAX_FULL_MESH_ROUTERS; number++) {
                seeds.add(start(store.link(), List.of()).peerAddress());
            }
            int cutOff = start(store.link().cut(true), seeds).port();
            awaitStatus(cutOff, "/a/", 200);

            store.publish("2:/b/");
            awaitStatus(cutOff, "/b/", 200);
        }
    }

    @Test
    void aConfigurationIsFoundAlthoughWaitingForChangesHangs() throws Exception {
        try (FakeEndpoint endpoint = answering("first")) {
            store.publish("1:/a/");
            store.list(endpoint.endpoint(SERVICE));
            int router = start(store.link().silentWaits(true), List.of()).port();
            awaitStatus(router, "/a/", 200);
            store.publish("2:/b/");
            awaitStatus(router, "/b/", 200);
        }
    }

    private static FakeEndpoint answering(String id) throws IOException {
        return new FakeEndpoint(id, (request, out) -> write(out, whole(request, 200, "ok")));
    }

    private Started start(ControlSource source, List<Address> seeds) throws IOException {
        Address peerAddress = freeAddress();
        CallerSocket callers = CallerSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        RoutedRouter router = RoutedRouter.builder(loops, source, RoutedRouterTest::decode, new PlainDialect())
                .peerAddress(peerAddress)
                .home(new DataCentre("here"))
                .build();
        routers.add(router);
        router.start(callers, RetryAllowance.DEFAULT, seeds);
        return new Started(callers.port(), peerAddress);
    }

    /**
     * Returns an address on which a router can listen for peers, and which stays free until then, some 0.4 s later.
     * Outgoing connections, whose ports the kernel picks, come from another loopback address.
     */
    private static Address freeAddress() throws IOException {
        InetAddress host = InetAddress.getByName("127.0.77.1");
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new Address(host.getHostAddress(), socket.getLocalPort());
        }
    }

    private static void awaitStatus(int port, String path, int status) throws Exception {
        String answer = "";
        try (TestCaller caller = new TestCaller(port)) {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                answer = caller.request("GET", path, "r" + attempt, "").readUntil("\r\n\r\n");
                caller.readBody(answer);
                if (answer.startsWith("HTTP/1.1 " + status)) {
                    return;
                }
                Thread.sleep(ATTEMPT_INTERVAL_MILLIS);
            }
        }
        assertThat(answer).startsWith("HTTP/1.1 " + status);
    }

    private static RoutingConfiguration decode(byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        int colon = text.indexOf(':');
        return RoutingConfiguration.builder(Long.parseLong(text.substring(0, colon)))
                .route(Route.builder("route")
                        .match("api", text.substring(colon + 1))
                        .split(TrafficSplit.all(SERVICE))
                        .build())
                .build();
    }

    /** A started router. */
    private record Started(int port, Address peerAddress) {}
}
