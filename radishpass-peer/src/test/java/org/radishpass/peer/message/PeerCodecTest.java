package org.radishpass.peer.message;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.StoredRecord;

/** Checks that messages survive a round trip, and that malformed bytes are rejected. */
final class PeerCodecTest {
    static Stream<PeerMessage> messages() {
        StoredRecord stored = new StoredRecord(
                "Model",
                "atlas",
                4,
                false,
                JsonNodeFactory.instance.objectNode().put("version", "1"));
        ConfigurationChange change = new ConfigurationChange(4, "token", "me", Instant.ofEpochSecond(9), stored);
        return Stream.of(
                new PeerMessage.Hello("router-1", "abc", 4),
                new PeerMessage.Head(4),
                new PeerMessage.ChangesWanted(3),
                new PeerMessage.Changes(4, List.of(change), List.of(stored)),
                new PeerMessage.SlotWanted(7, "engine", "pool", PriorityClass.BATCH, 1.25f, 1000),
                new PeerMessage.SlotReply(SlotAnswer.OVER_BOUND, 3, 4),
                new PeerMessage.SlotFreed(7, "engine"),
                new PeerMessage.SlotHeld(7, "engine", PriorityClass.CHECK, 1000),
                new PeerMessage.PoolParts(List.of(new PeerMessage.PoolSum("pool", 3, 1f))),
                new PeerMessage.PoolTotals(List.of(new PeerMessage.PoolSum("pool", 9, 4f))),
                new PeerMessage.EndpointReports(List.of(new PeerMessage.EndpointReport(
                        "engine", "abc", 7, EndpointState.READY, List.of("pool"), 3, 32))),
                new PeerMessage.Leaving("router-1"),
                new PeerMessage.Done());
    }

    @ParameterizedTest
    @MethodSource("messages")
    void everyMessageSurvivesARoundTrip(PeerMessage message) throws IOException {
        Envelope envelope = new Envelope(-42, message);

        assertThat(PeerCodec.decode(PeerCodec.encode(envelope))).isEqualTo(envelope);
    }

    @Property(tries = 2_000, seed = "52")
    void arbitraryBytesFailOnlyWithAnIoException(@ForAll byte[] bytes) {
        try {
            assertThat(PeerCodec.decode(bytes).message()).isNotNull();
        } catch (IOException expected) {
            assertThat(expected).isNotNull();
        }
    }
}
