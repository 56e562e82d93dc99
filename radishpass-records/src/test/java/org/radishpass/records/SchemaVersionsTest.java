package org.radishpass.records;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaConversion;
import org.radishpass.records.schema.SchemaVersion;

/** Tests that writers under different schema versions preserve each other's fields. */
final class SchemaVersionsTest {
    private static final String STORED = "{'keys':[{'salt':'s','sha256':'h'}],'limits':{'inFlight':9,'queued':5},"
            + "'placement':{'loadBound':1.5,'spread':3},'later':{'unknown':true}}";

    @Test
    void writeUnderV1KeepsFieldsThatV1DoesNotKnow() throws JsonProcessingException {
        ObjectNode written = json("{'keys':[{'salt':'t','sha256':'i'}],'maxInFlight':7,'boundPercent':130}");

        ObjectNode result = SchemaConversion.rewrite(RecordKind.WORKSPACE, SchemaVersion.V1, written, json(STORED));

        assertThat(result)
                .isEqualTo(json("{'keys':[{'salt':'t','sha256':'i'}],'limits':{'inFlight':7,'queued':5},"
                        + "'placement':{'loadBound':1.3,'spread':3},'later':{'unknown':true}}"));
    }

    @Test
    void knownFieldThatTheWriterOmitsIsRemoved() throws JsonProcessingException {
        ObjectNode written = json("{'keys':[{'salt':'s','sha256':'h'}]}");

        ObjectNode result = SchemaConversion.rewrite(RecordKind.WORKSPACE, SchemaVersion.V1, written, json(STORED));

        assertThat(result.at("/limits/inFlight").isMissingNode()).isTrue();
        assertThat(result.at("/limits/queued").asInt()).isEqualTo(5);
    }

    @Test
    void v1ViewConvertsStoredValues() throws JsonProcessingException {
        ObjectNode view = SchemaConversion.view(RecordKind.WORKSPACE, SchemaVersion.V1, json(STORED));

        assertThat(view).isEqualTo(json("{'keys':[{'salt':'s','sha256':'h'}],'maxInFlight':9,'boundPercent':150}"));
    }

    @Test
    void writingBackAViewChangesNothing() throws JsonProcessingException {
        for (SchemaVersion version : SchemaVersion.values()) {
            ObjectNode view = SchemaConversion.view(RecordKind.WORKSPACE, version, json(STORED));

            ObjectNode result = SchemaConversion.rewrite(RecordKind.WORKSPACE, version, view, json(STORED));

            assertThat(result).isEqualTo(json(STORED));
        }
    }

    private static ObjectNode json(String text) throws JsonProcessingException {
        return (ObjectNode) RecordJson.mapper().readTree(text.replace('\'', '"'));
    }
}
