package org.radishpass.peer.transport;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.document.DocumentPacking;
import org.radishpass.peer.document.PackedDocument;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.runtime.metrics.TrafficMeter;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Checks the links between two nodes over the loopback interface. */
final class PeerNodeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int LARGE_BYTES = 4_194_304;

    private final LoopResources loops = LoopResources.create("test", 2, true);
    private final BlockingQueue<String> disconnectedFromOne = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> disconnectedFromTwo = new LinkedBlockingQueue<>();
    private final PeerNode one = node("one", disconnectedFromOne);
    private final PeerNode two = node("two", disconnectedFromTwo);

    @AfterEach
    void close() {
        one.close();
        two.close();
        loops.dispose();
    }

    @Test
    void aRequestReturnsTheResponseOfThePeer() {
        PeerMessage response = one.request(vm("two", two), new PeerMessage.ChangesWanted(7), TIMEOUT)
                .block();

        assertThat(response).isEqualTo(new PeerMessage.Head(7));
    }

    @Test
    void aRequestToAnUnreachablePeerFails() {
        Vm gone = new Vm("gone", new DataCentre("here"), new Address("127.0.0.1", 1), false);

        Boolean failed = one.request(gone, new PeerMessage.ChangesWanted(7), TIMEOUT)
                .map(response -> false)
                .onErrorReturn(true)
                .block();

        assertThat(failed).isTrue();
    }

    @Test
    void closingANodeClosesItsAcceptedConnections() throws java.io.IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0, 0});
            socket.getOutputStream().flush();
            one.request(vm("two", two), new PeerMessage.ChangesWanted(1), TIMEOUT)
                    .block();

            two.close();

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void malformedBytesCloseOnlyTheirOwnConnection() throws java.io.IOException {
        one.request(vm("two", two), new PeerMessage.ChangesWanted(1), TIMEOUT).block();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 'x', 'y', 'z'});
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }

        PeerMessage response = one.request(vm("two", two), new PeerMessage.ChangesWanted(2), TIMEOUT)
                .block();

        assertThat(response).isEqualTo(new PeerMessage.Head(2));
    }

    @Test
    void aFrameOverTheLimitClosesTheConnection() throws java.io.IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1});
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /**
     * Guards against two routers that close and redial their connections in turn: each took the end of one connection
     * for the end of the other router, which was still connected by its own.
     */
    @Test
    void aPeerThatRedialsIsNotReportedAsDisconnected() throws InterruptedException {
        exchangeRequests();

        one.closeLink("two");
        one.request(vm("two", two), new PeerMessage.ChangesWanted(3), TIMEOUT).block();
        two.request(vm("one", one), new PeerMessage.ChangesWanted(3), TIMEOUT).block();
        assertThat(disconnectedFromOne).isEmpty();
        assertThat(disconnectedFromTwo).isEmpty();

        two.close();
        assertThat(disconnectedFromOne.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isEqualTo("two");
    }

    /**
     * Guards against a fixed timeout: a document on a slow link was abandoned 0.8 s after the request, and requested
     * again.
     */
    @Test
    void aLargeResponseIsFetchedCompletely() {
        Integer bytes = one.fetch(vm("two", two), new RoutingMessage.DocumentWanted("large", true, ""))
                .ofType(RoutingMessage.Document.class)
                .map(document -> document.content().length)
                .block(TIMEOUT);

        assertThat(bytes).isEqualTo(LARGE_BYTES);
    }

    @Test
    void aFetchFromASilentPeerFails() {
        Boolean failed = one.fetch(vm("two", two), new RoutingMessage.DocumentWanted("silent", true, ""))
                .map(response -> false)
                .onErrorReturn(true)
                .block(TIMEOUT);

        assertThat(failed).isTrue();
    }

    private void exchangeRequests() {
        one.request(vm("two", two), new PeerMessage.ChangesWanted(1), TIMEOUT).block();
        two.request(vm("one", one), new PeerMessage.ChangesWanted(1), TIMEOUT).block();
    }

    private PeerNode node(String id, BlockingQueue<String> disconnectedPeers) {
        PeerHandler handler = new PeerHandler() {
            @Override
            public Mono<PeerMessage> handle(String from, PeerMessage message) {
                if (message instanceof RoutingMessage.DocumentWanted wanted) {
                    return wanted.name().equals("silent") ? Mono.never() : Mono.just(large(wanted.name()));
                }
                return message instanceof PeerMessage.ChangesWanted wanted
                        ? Mono.just(new PeerMessage.Head(wanted.after()))
                        : Mono.just(new PeerMessage.Done());
            }

            @Override
            public void disconnected(String from) {
                disconnectedPeers.add(from);
            }
        };
        return new PeerNode(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                loops,
                handler,
                new TrafficMeter(new SimpleMeterRegistry()),
                () -> new PeerMessage.Hello(id, "1", 0));
    }

    private static PeerMessage large(String name) {
        return RoutingMessage.Document.of(
                name, 1, new PackedDocument(DocumentPacking.PLAIN, new byte[LARGE_BYTES], "", ""));
    }

    private static Vm vm(String id, PeerNode node) {
        return new Vm(id, new DataCentre("here"), new Address("127.0.0.1", node.port()), false);
    }
}
