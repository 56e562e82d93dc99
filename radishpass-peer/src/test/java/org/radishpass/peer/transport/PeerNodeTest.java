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

/** Checks the links between routers over loopback. */
final class PeerNodeTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final int LARGE_BYTES = 4_194_304;

    private final LoopResources loops = LoopResources.create("test", 2, true);
    private final BlockingQueue<String> endedForOne = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> endedForTwo = new LinkedBlockingQueue<>();
    private final PeerNode one = node("one", endedForOne);
    private final PeerNode two = node("two", endedForTwo);

    @AfterEach
    void close() {
        one.close();
        two.close();
        loops.dispose();
    }

    @Test
    void aRequestIsAnsweredByThePeerThatWasAsked() {
        PeerMessage answer = one.request(vm("two", two), new PeerMessage.ChangesWanted(7), PATIENCE)
                .block();

        assertThat(answer).isEqualTo(new PeerMessage.Head(7));
    }

    @Test
    void aPeerThatIsGoneIsAnErrorAndNotASilence() {
        Vm gone = new Vm("gone", new DataCentre("here"), new Address("127.0.0.1", 1), false);

        Boolean failed = one.request(gone, new PeerMessage.ChangesWanted(7), PATIENCE)
                .map(answer -> false)
                .onErrorReturn(true)
                .block();

        assertThat(failed).isTrue();
    }

    @Test
    void aPeerThatStopsClosesTheConnectionsThatItAccepted() throws java.io.IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0, 0});
            socket.getOutputStream().flush();
            one.request(vm("two", two), new PeerMessage.ChangesWanted(1), PATIENCE)
                    .block();

            two.close();

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void bytesThatAreNotAMessageCostTheirOwnConnectionAlone() throws java.io.IOException {
        one.request(vm("two", two), new PeerMessage.ChangesWanted(1), PATIENCE).block();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 'x', 'y', 'z'});
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }

        PeerMessage answer = one.request(vm("two", two), new PeerMessage.ChangesWanted(2), PATIENCE)
                .block();

        assertThat(answer).isEqualTo(new PeerMessage.Head(2));
    }

    @Test
    void aFrameOverTheLimitIsNotReadIntoMemory() throws java.io.IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
            socket.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1});
            socket.getOutputStream().flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /**
     * Seen: two routers closed and dialled each other's connections in turn, each taking the end of one for the end of the other
     * router, which was still connected by its own.
     */
    @Test
    void aPeerThatDialsAnewHasNotEnded() throws InterruptedException {
        askOneAnother();

        one.drop("two");
        one.request(vm("two", two), new PeerMessage.ChangesWanted(3), PATIENCE).block();
        two.request(vm("one", one), new PeerMessage.ChangesWanted(3), PATIENCE).block();
        assertThat(endedForOne).isEmpty();
        assertThat(endedForTwo).isEmpty();

        two.close();
        assertThat(endedForOne.poll(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isEqualTo("two");
    }

    /** Seen: a document that came slowly was given up 0.8 s after it was asked for, and asked for again. */
    @Test
    void aLargeAnswerIsFetchedWhole() {
        Integer bytes = one.fetch(vm("two", two), new RoutingMessage.DocumentWanted("large", true, ""))
                .ofType(RoutingMessage.Document.class)
                .map(document -> document.content().length)
                .block(PATIENCE);

        assertThat(bytes).isEqualTo(LARGE_BYTES);
    }

    @Test
    void aPeerThatDoesNotAnswerIsGivenUp() {
        Boolean failed = one.fetch(vm("two", two), new RoutingMessage.DocumentWanted("silent", true, ""))
                .map(answer -> false)
                .onErrorReturn(true)
                .block(PATIENCE);

        assertThat(failed).isTrue();
    }

    private void askOneAnother() {
        one.request(vm("two", two), new PeerMessage.ChangesWanted(1), PATIENCE).block();
        two.request(vm("one", one), new PeerMessage.ChangesWanted(1), PATIENCE).block();
    }

    private PeerNode node(String id, BlockingQueue<String> endedPeers) {
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
                endedPeers.add(from);
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
