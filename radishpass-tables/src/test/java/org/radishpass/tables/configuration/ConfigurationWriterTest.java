package org.radishpass.tables.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.radishpass.records.Configuration;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.RecordKey;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;
import org.radishpass.tables.testing.FakeTables;
import org.radishpass.tables.testing.FakeTables.Fault;

/** Checks the results of operators' writes, also when the store fails or other writes conflict. */
final class ConfigurationWriterTest {
    private final FakeTables tables = new FakeTables();
    private final AtomicInteger tokens = new AtomicInteger();
    private final ConfigurationWriter writer = new ConfigurationWriter(
            tables, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC), () -> "token-" + tokens.incrementAndGet());

    @Test
    void aWriteRaisesTheRevisionByTheNumberOfChangedRecords() {
        assertAccepted(apply(OptionalLong.empty(), model("a", "1"), model("b", "1")), 2);
        assertAccepted(apply(OptionalLong.empty(), model("a", "1"), model("b", "2")), 3);
    }

    @Test
    void anUnchangedRecordIsAcceptedWithoutAStoreWrite() {
        apply(OptionalLong.empty(), model("a", "1"));

        assertAccepted(apply(OptionalLong.empty(), model("a", "1")), 1);
        assertThat(tables.writes()).isEqualTo(1);
    }

    @Test
    void aWriteThatExpectsAnOlderRevisionConflicts() {
        apply(OptionalLong.empty(), model("a", "1"));
        apply(OptionalLong.of(1), model("a", "2"));

        WriteResult result = apply(OptionalLong.of(1), model("a", "3"));

        assertThat(result).isEqualTo(new WriteResult.Conflict(1, 2));
        assertThat(snapshot().model("a").orElseThrow().version()).isEqualTo("2");
    }

    @Test
    void aWriteWithALostResponseIsConfirmedByReadingBack() {
        tables.setFaultsOfNextWrites(Fault.ANSWER_LOST);

        assertAccepted(apply(OptionalLong.empty(), model("a", "1")), 1);
        assertThat(tables.writes()).isEqualTo(1);
    }

    @Test
    void aWriteLostOnTheWayHasAnUnknownResult() {
        tables.setFaultsOfNextWrites(Fault.REQUEST_LOST);

        assertThat(apply(OptionalLong.empty(), model("a", "1"))).isInstanceOf(WriteResult.Unknown.class);
    }

    @Test
    void aRefusedWriteChangesNothing() {
        tables.setFaultsOfNextWrites(Fault.REFUSED);

        assertThat(apply(OptionalLong.empty(), model("a", "1"))).isInstanceOf(WriteResult.Refused.class);
        assertThat(snapshot().revision()).isEqualTo(0);
    }

    @Test
    void aDelayedWriteDoesNotOverwriteANewerOne() {
        tables.setFaultsOfNextWrites(Fault.DELAYED);
        apply(OptionalLong.empty(), model("a", "1"));
        apply(OptionalLong.empty(), model("a", "2"));

        tables.commitDelayedWrites();

        assertThat(snapshot().model("a").orElseThrow().version()).isEqualTo("2");
        assertThat(snapshot().revision()).isEqualTo(1);
    }

    @Test
    void deletingARecordRemovesItAndRaisesTheRevision() {
        apply(OptionalLong.empty(), model("a", "1"));

        WriteResult result = writer.delete(List.of(new RecordKey("Model", "a")), "me", OptionalLong.empty())
                .block();

        assertAccepted(result, 2);
        assertThat(snapshot().model("a")).isEmpty();
    }

    private WriteResult apply(OptionalLong expected, RecordDocument... documents) {
        WriteResult result = writer.apply(List.of(documents), "me", expected).block();
        assertThat(result).isNotNull();
        return java.util.Objects.requireNonNull(result);
    }

    private Configuration snapshot() {
        return java.util.Objects.requireNonNull(
                new ConfigurationStore(tables).snapshot().block());
    }

    private static void assertAccepted(@org.jspecify.annotations.Nullable WriteResult result, long revision) {
        assertThat(result).isInstanceOf(WriteResult.Accepted.class);
        if (result instanceof WriteResult.Accepted accepted) {
            assertThat(accepted.revision()).isEqualTo(revision);
        }
    }

    private static RecordDocument model(String name, String version) {
        return new RecordDocument(
                SchemaVersion.V2,
                RecordKind.MODEL,
                name,
                JsonNodeFactory.instance.objectNode().put("version", version),
                "test");
    }
}
