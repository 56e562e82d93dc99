package org.radishpass.records;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.load.LoadBound;

/** Tests how a configuration is built from records and changes. */
final class ConfigurationTest {
    @Test
    void afterRejectsARevisionGap() {
        Configuration configuration = Configuration.empty().after(List.of(change(1, "Model", "atlas", false)));

        assertThrows(
                IllegalArgumentException.class, () -> configuration.after(List.of(change(3, "Model", "other", false))));
        assertThat(configuration
                        .after(List.of(change(2, "Model", "other", false)))
                        .models())
                .hasSize(2);
    }

    @Test
    void deletedRecordLeavesATombstone() {
        Configuration configuration = Configuration.empty()
                .after(List.of(change(1, "Model", "atlas", false), change(2, "Model", "atlas", true)));

        assertThat(configuration.models()).isEmpty();
        assertThat(configuration.records()).hasSize(1);
    }

    @Test
    void recordOfUnknownKindIsKept() {
        Configuration configuration = Configuration.empty().after(List.of(change(1, "Novelty", "x", false)));

        assertThat(configuration.revision()).isEqualTo(1);
        assertThat(configuration.records()).hasSize(1);
    }

    @Test
    void workspaceWithoutLoadBoundUsesFleetLoadBound() {
        ObjectNode fleet = JsonNodeFactory.instance.objectNode().put("loadBound", 1.4);
        Configuration configuration = Configuration.of(
                2,
                List.of(
                        new StoredRecord("Fleet", "fleet", 1, false, fleet),
                        new StoredRecord("Workspace", "w", 2, false, JsonNodeFactory.instance.objectNode())));

        assertThat(configuration.workspace("w").orElseThrow().bound()).isEqualTo(new LoadBound(1.4));
    }

    @Test
    void poolOfResolvesModelsAndTheirAdapters() {
        ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", "3");
        spec.putArray("adapters").add("passbook");
        Configuration configuration = Configuration.of(1, List.of(new StoredRecord("Model", "atlas", 1, false, spec)));

        assertThat(configuration.poolOf("atlas")).hasValue("atlas@3");
        assertThat(configuration.poolOf("atlas:passbook")).hasValue("atlas:passbook@3");
        assertThat(configuration.poolOf("atlas:other")).isEmpty();
        assertThat(configuration.poolOf("other")).isEmpty();
    }

    private static ConfigurationChange change(long revision, String kind, String name, boolean deleted) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", "1");
        StoredRecord after = new StoredRecord(kind, name, revision, deleted, spec);
        return new ConfigurationChange(revision, "token", "author", Instant.EPOCH, after);
    }
}
