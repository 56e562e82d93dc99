package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.testing.FakeStore;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.traffic.CallerSocket;
import org.radishpass.runtime.metrics.TrafficMeter;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * Checks that the end of one connection between two routers is not the end of the others. It was: after four of seven routers had
 * stood still for 4 s, all closed and dialled 300 connections a second each until the end of the day.
 */
final class PeerDisconnectTest {
    private static final DataCentre HOME = new DataCentre("here");

    /** Messages of work after which a link that was closed has been dialled anew. */
    private static final int MESSAGES = 4;

    /** A message of work has at least that many. */
    private static final int LEAST_STATE_BYTES = 60;

    private static final int MOST_TRIES = 2_000;
    private static final long PAUSE_MILLIS = 10;

    private final LoopResources loops = LoopResources.create("test", 2, 2, true, false);
    private final FakeStore store = new FakeStore();
    private final List<RoutedRouter> routers = new ArrayList<>();

    @AfterEach
    void close() {
        routers.forEach(RoutedRouter::close);
        loops.dispose();
    }

    @Test
    void anEndedConnectionDoesNotEndTheOthers() throws Exception {
        store.publish("1");
        SimpleMeterRegistry atFirst = new SimpleMeterRegistry();
        SimpleMeterRegistry atSecond = new SimpleMeterRegistry();
        Address first = freeAddress();
        Address second = freeAddress();
        start(first, List.of(), atFirst);
        start(second, List.of(first), atSecond);
        awaitStates(atSecond, MESSAGES);
        double dialled = bytes(atSecond, "Introduction");

        endAConnection(first, new FleetRouter(second, HOME, 1), atFirst);
        awaitStates(atSecond, (int) states(atSecond) + MESSAGES);

        assertThat(bytes(atSecond, "Introduction")).isEqualTo(dialled);
    }

    /** Connects to a router in the name of another one, and closes the connection. */
    private void endAConnection(Address to, FleetRouter name, SimpleMeterRegistry atRouter) throws Exception {
        double before = bytes(atRouter, "Introduction");
        PeerHandler silent = new PeerHandler() {
            @Override
            public Mono<PeerMessage> handle(String from, PeerMessage message) {
                return Mono.empty();
            }

            @Override
            public void disconnected(String from) {
                // the test ends it itself
            }
        };
        Address own = freeAddress();
        try (PeerNode node = new PeerNode(
                new InetSocketAddress(own.host(), own.port()),
                loops,
                silent,
                new TrafficMeter(new SimpleMeterRegistry()),
                () -> new RoutingMessage.Introduction(PeerStates.entry(name)))) {
            node.send(
                    new org.radishpass.core.fleet.Vm(to.toString(), HOME, to, false),
                    new RoutingMessage.RouterList(List.of(PeerStates.entry(name))));
            for (int attempt = 0; attempt < MOST_TRIES && bytes(atRouter, "Introduction") == before; attempt++) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }

    private void start(Address peers, List<Address> seeds, SimpleMeterRegistry metrics) throws IOException {
        CallerSocket callers = CallerSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        RoutedRouter router = RoutedRouter.builder(
                        loops,
                        store.link(),
                        content -> RoutingConfiguration.builder(1).build(),
                        new PlainDialect())
                .metrics(metrics)
                .peerAddress(peers)
                .home(HOME)
                .build();
        routers.add(router);
        router.start(callers, RetryAllowance.DEFAULT, seeds);
    }

    private static void awaitStates(SimpleMeterRegistry metrics, int messages) throws InterruptedException {
        for (int attempt = 0; attempt < MOST_TRIES && states(metrics) < messages; attempt++) {
            Thread.sleep(PAUSE_MILLIS);
        }
        assertThat(states(metrics)).isAtLeast(messages);
    }

    /** Returns about how many messages of work have come. */
    private static double states(SimpleMeterRegistry metrics) {
        return Math.floor(bytes(metrics, "RoutingState") / LEAST_STATE_BYTES);
    }

    /** Returns the bytes of a kind of message that have come. */
    private static double bytes(SimpleMeterRegistry metrics, String kind) {
        Counter counter = metrics.find("radishpass.control.bytes")
                .tag("direction", "received")
                .tag("kind", kind)
                .counter();
        return counter == null ? 0 : counter.count();
    }

    private static Address freeAddress() throws IOException {
        InetAddress host = InetAddress.getByName("127.0.77.2");
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new Address(host.getHostAddress(), socket.getLocalPort());
        }
    }
}
