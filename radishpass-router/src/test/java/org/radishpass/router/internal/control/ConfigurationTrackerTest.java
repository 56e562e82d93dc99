package org.radishpass.router.internal.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.thread.ControlThread;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.radishpass.tables.configuration.ConfigurationWriter;
import org.radishpass.tables.testing.FakeTables;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Checks that a configuration that was in force is never taken back. */
final class ConfigurationTrackerTest {
    private final FakeTables original = new FakeTables();
    private final FakeTables restored = new FakeTables();
    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final ControlThread control = new ControlThread("control");
    private final PeerNode peers = new PeerNode(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            loops,
            new Silent(),
            new TrafficMeter(new SimpleMeterRegistry()),
            () -> new PeerMessage.Hello("me", "1", 0));
    private volatile FakeTables tables = original;
    private final ConfigurationTracker tracker = new ConfigurationTracker(
            control,
            new ConfigurationStore(transaction -> tables.transact(transaction)),
            peers,
            new SimpleMeterRegistry(),
            fromStore -> {});

    @AfterEach
    void close() {
        peers.close();
        control.close();
        loops.dispose();
    }

    @Test
    void aStoreThatWasRestoredFromAnOlderCopyTakesNothingBack() {
        write(original, "1");
        write(original, "2");
        write(restored, "old");
        poll();
        assertThat(tracker.current().revision()).isEqualTo(2);

        tables = restored;
        poll();

        assertThat(tracker.current().revision()).isEqualTo(2);
        assertThat(tracker.current().model("atlas").orElseThrow().version()).isEqualTo("2");
    }

    @Test
    void anOutageTakesNothingBack() {
        write(original, "1");
        poll();

        original.out(true);
        poll();

        assertThat(tracker.current().revision()).isEqualTo(1);
    }

    @Test
    void anOutageThatLooksLikeAnEmptyStoreTakesNothingBack() {
        write(original, "1");
        poll();

        tables = new FakeTables();
        poll();

        assertThat(tracker.current().revision()).isEqualTo(1);
    }

    @Test
    void whatAPeerMissesIsSentAsChangesOrElseWhole() {
        write(original, "1");
        poll();
        write(original, "2");
        poll();

        PeerMessage.Changes since = tracker.answer(1);
        PeerMessage.Changes whole = tracker.answer(0);

        assertThat(since.changes()).hasSize(1);
        assertThat(since.records()).isEmpty();
        assertThat(whole.changes()).isEmpty();
        assertThat(whole.records()).hasSize(1);
    }

    @Test
    void aTrackerThatWasToldNothingSaysSo() {
        original.out(true);
        poll();

        assertThat(tracker.known()).isFalse();
    }

    /** Polls and waits until the control thread has done all that followed. */
    private void poll() {
        control.call(() -> {
                    tracker.poll();
                    return true;
                })
                .block();
        for (int i = 0; i < 3; i++) {
            control.call(() -> true).block();
        }
    }

    private static void write(FakeTables target, String version) {
        RecordDocument document = new RecordDocument(
                SchemaVersion.V2,
                RecordKind.MODEL,
                "atlas",
                JsonNodeFactory.instance.objectNode().put("version", version),
                "test");
        new ConfigurationWriter(
                        target, Clock.systemUTC(), () -> UUID.randomUUID().toString())
                .apply(List.of(document), "test", OptionalLong.empty())
                .block();
    }

    /** Answers nothing. */
    private static final class Silent implements PeerHandler {
        @Override
        public Mono<PeerMessage> handle(String from, PeerMessage message) {
            return Mono.just(new PeerMessage.Done());
        }

        @Override
        public void disconnected(String from) {
            // nothing to forget
        }
    }
}
