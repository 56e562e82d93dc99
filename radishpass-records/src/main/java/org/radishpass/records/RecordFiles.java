package org.radishpass.records;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.radishpass.records.schema.FieldFault;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaCheck;
import org.radishpass.records.schema.SchemaVersion;

/**
 * Reads records from YAML or JSON texts.
 *
 * @since 0.1.0
 */
public final class RecordFiles {
    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private RecordFiles() {
        // static methods only
    }

    /**
     * Reads all records of a text and checks each.
     *
     * @param source where the text came from, for messages
     * @param text YAML, with one or more documents, or JSON
     */
    public static ReadResult read(String source, String text) {
        List<RecordDocument> documents = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        try (MappingIterator<JsonNode> values = YAML.readerFor(JsonNode.class).readValues(text)) {
            int number = 0;
            while (values.hasNextValue()) {
                number++;
                String where = source + ": document " + number;
                readOne(where, values.nextValue(), documents, faults);
            }
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            faults.add(source + ":" + line + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            faults.add(source + ": " + e.getMessage());
        }
        return new ReadResult(documents, faults);
    }

    private static void readOne(String where, JsonNode node, List<RecordDocument> documents, List<String> faults) {
        int before = faults.size();
        Optional<SchemaVersion> version =
                SchemaVersion.byWireName(node.path("apiVersion").asText());
        Optional<RecordKind> kind = RecordKind.byWireName(node.path("kind").asText());
        String name = node.path("name").asText();
        if (version.isEmpty()) {
            faults.add(where + ": apiVersion is " + node.path("apiVersion") + "; write radishpass/v1 or radishpass/v2");
        }
        if (kind.isEmpty()) {
            List<String> kinds = java.util.Arrays.stream(RecordKind.values())
                    .map(RecordKind::wireName)
                    .toList();
            faults.add(where + ": kind is " + node.path("kind") + "; write one of " + kinds);
        }
        if (!NAME.matcher(name).matches()) {
            faults.add(where + ": name is '" + name + "'; write 1 to 63 of a-z, 0-9 and -");
        }
        if (!(node.path("spec") instanceof ObjectNode)) {
            faults.add(where + ": spec is missing; write an object");
        }
        if (faults.size() == before && node.path("spec") instanceof ObjectNode spec) {
            RecordDocument document = new RecordDocument(version.orElseThrow(), kind.orElseThrow(), name, spec, where);
            List<FieldFault> fieldFaults = SchemaCheck.faults(document.kind().fields(document.version()), spec);
            fieldFaults.forEach(fault -> faults.add(where + ": " + document.key() + ": " + fault));
            documents.add(document);
        }
    }

    /**
     * What was read.
     *
     * @param documents the records
     * @param faults what is wrong, one line each; none when all may be applied
     * @since 0.1.0
     */
    public record ReadResult(List<RecordDocument> documents, List<String> faults) {}
}
