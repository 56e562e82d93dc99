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

/** Tests that an active configuration is never replaced by an older revision. */
final class ConfigurationTrackerTest {
    private final FakeTables original = new FakeTables();
    private final FakeTables restored = new FakeTables();
    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final ControlThread control = new ControlThread("control");
    private final PeerNode peers = new PeerNode(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            loops,
            new NoOpPeerHandler(),
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
    void storeRestoredFromOlderCopyDoesNotRevertConfiguration() {
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
    void storeOutageDoesNotRevertConfiguration() {
        write(original, "1");
        poll();

        original.setOutage(true);
        poll();

        assertThat(tracker.current().revision()).isEqualTo(1);
    }

    /** Guards against an outage during which the store answers as if it were empty. */
    @Test
    void emptyStoreDoesNotRevertConfiguration() {
        write(original, "1");
        poll();

        tables = new FakeTables();
        poll();

        assertThat(tracker.current().revision()).isEqualTo(1);
    }

    @Test
    void sendsChangesIfAllAreKeptAndAllRecordsOtherwise() {
        write(original, "1");
        poll();
        write(original, "2");
        poll();

        PeerMessage.Changes incremental = tracker.changesAfter(1);
        PeerMessage.Changes complete = tracker.changesAfter(0);

        assertThat(incremental.changes()).hasSize(1);
        assertThat(incremental.records()).isEmpty();
        assertThat(complete.changes()).isEmpty();
        assertThat(complete.records()).hasSize(1);
    }

    @Test
    void revisionIsUnknownDuringOutageAtStart() {
        original.setOutage(true);
        poll();

        assertThat(tracker.revisionKnown()).isFalse();
    }

    /** Polls the store and waits until the control thread has handled the result. */
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

    /** Acknowledges each message without handling it. */
    private static final class NoOpPeerHandler implements PeerHandler {
        @Override
        public Mono<PeerMessage> handle(String from, PeerMessage message) {
            return Mono.just(new PeerMessage.Done());
        }

        @Override
        public void disconnected(String from) {
            // no state to clean up
        }
    }
}
