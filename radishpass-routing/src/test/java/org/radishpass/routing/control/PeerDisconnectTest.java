package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
 * Checks that the end of one connection between two routers does not end the others.
 *
 * <p>Guards against routers that close each other's connections without end: after four of seven routers had been
 * frozen for 4 s, all routers closed and redialled 300 connections a second each.
 */
final class PeerDisconnectTest {
    private static final DataCentre HOME = new DataCentre("here");

    /** State messages after which a closed link would have been dialled again. */
    private static final int STATE_MESSAGES = 4;

    /** Minimum size of a state message in bytes. */
    private static final int MIN_STATE_BYTES = 60;

    private static final int MAX_POLLS = 2_000;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final LoopResources loops = LoopResources.create("test", 2, 2, true, false);
    private final FakeStore store = new FakeStore();
    private final List<RoutedRouter> routers = new ArrayList<>();
    private final Set<Integer> usedPorts = new HashSet<>();

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
        awaitStateMessages(atSecond, STATE_MESSAGES);
        double introductionBytes = receivedBytes(atSecond, "Introduction");

        openAndCloseConnection(first, new FleetRouter(second, HOME, 1), atFirst);
        awaitStateMessages(atSecond, (int) stateMessages(atSecond) + STATE_MESSAGES);

        assertThat(receivedBytes(atSecond, "Introduction")).isEqualTo(introductionBytes);
    }

    /** Connects to a router in the name of another router, and closes the connection. */
    private void openAndCloseConnection(Address to, FleetRouter sender, SimpleMeterRegistry atRouter) throws Exception {
        double before = receivedBytes(atRouter, "Introduction");
        PeerHandler silent = new PeerHandler() {
            @Override
            public Mono<PeerMessage> handle(String from, PeerMessage message) {
                return Mono.empty();
            }

            @Override
            public void disconnected(String from) {
                // the test itself ends the connection
            }
        };
        Address own = freeAddress();
        try (PeerNode node = new PeerNode(
                new InetSocketAddress(own.host(), own.port()),
                loops,
                silent,
                new TrafficMeter(new SimpleMeterRegistry()),
                () -> new RoutingMessage.Introduction(RoutingMessageMapper.toEntry(sender)))) {
            node.send(
                    new org.radishpass.core.fleet.Vm(to.toString(), HOME, to, false),
                    new RoutingMessage.RouterList(List.of(RoutingMessageMapper.toEntry(sender))));
            for (int attempt = 0; attempt < MAX_POLLS && receivedBytes(atRouter, "Introduction") == before; attempt++) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    private void start(Address peerAddress, List<Address> seeds, SimpleMeterRegistry metrics) throws IOException {
        CallerSocket callers = CallerSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        RoutedRouter router = RoutedRouter.builder(
                        loops,
                        store.link(),
                        content -> RoutingConfiguration.builder(1).build(),
                        new PlainDialect())
                .metrics(metrics)
                .peerAddress(peerAddress)
                .home(HOME)
                .build();
        routers.add(router);
        router.start(callers, RetryAllowance.DEFAULT, seeds);
    }

    private static void awaitStateMessages(SimpleMeterRegistry metrics, int messages) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_POLLS && stateMessages(metrics) < messages; attempt++) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        assertThat(stateMessages(metrics)).isAtLeast(messages);
    }

    /** Returns the approximate number of state messages that were received. */
    private static double stateMessages(SimpleMeterRegistry metrics) {
        return Math.floor(receivedBytes(metrics, "RoutingState") / MIN_STATE_BYTES);
    }

    /** Returns the number of received bytes in messages of a kind. */
    private static double receivedBytes(SimpleMeterRegistry metrics, String kind) {
        Counter counter = metrics.find("radishpass.control.bytes")
                .tag("direction", "received")
                .tag("kind", kind)
                .counter();
        return counter == null ? 0 : counter.count();
    }

    /** Returns an address that was not returned before. The kernel may offer a port again once its socket is closed. */
    private Address freeAddress() throws IOException {
        InetAddress host = InetAddress.getByName("127.0.77.2");
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, host)) {
                if (usedPorts.add(socket.getLocalPort())) {
                    return new Address(host.getHostAddress(), socket.getLocalPort());
                }
            }
        }
    }
}
