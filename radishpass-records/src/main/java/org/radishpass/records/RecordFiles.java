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
import org.radishpass.records.schema.FieldError;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaValidator;
import org.radishpass.records.schema.SchemaVersion;

/**
 * Parses and validates configuration records in YAML or JSON.
 *
 * @since 0.1.0
 */
public final class RecordFiles {
    private static final ObjectMapper YAML_MAPPER = new ObjectMapper(new YAMLFactory());
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private RecordFiles() {
        // static methods only
    }

    /**
     * Parses all records of a text and validates each of them.
     *
     * @param source the file that the text was read from, for messages
     * @param text one or more YAML documents, or JSON
     */
    public static ReadResult read(String source, String text) {
        List<RecordDocument> documents = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        try (MappingIterator<JsonNode> values =
                YAML_MAPPER.readerFor(JsonNode.class).readValues(text)) {
            int number = 0;
            while (values.hasNextValue()) {
                number++;
                String location = source + ": document " + number;
                readDocument(location, values.nextValue(), documents, errors);
            }
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            errors.add(source + ":" + line + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            errors.add(source + ": " + e.getMessage());
        }
        return new ReadResult(documents, errors);
    }

    private static void readDocument(
            String location, JsonNode node, List<RecordDocument> documents, List<String> errors) {
        int errorsBefore = errors.size();
        Optional<SchemaVersion> version =
                SchemaVersion.byWireName(node.path("apiVersion").asText());
        Optional<RecordKind> kind = RecordKind.byWireName(node.path("kind").asText());
        String name = node.path("name").asText();
        if (version.isEmpty()) {
            errors.add(
                    location + ": apiVersion is " + node.path("apiVersion") + "; write radishpass/v1 or radishpass/v2");
        }
        if (kind.isEmpty()) {
            List<String> kinds = java.util.Arrays.stream(RecordKind.values())
                    .map(RecordKind::wireName)
                    .toList();
            errors.add(location + ": kind is " + node.path("kind") + "; write one of " + kinds);
        }
        if (!NAME.matcher(name).matches()) {
            errors.add(location + ": name is '" + name + "'; write 1 to 63 of a-z, 0-9 and -");
        }
        if (!(node.path("spec") instanceof ObjectNode)) {
            errors.add(location + ": spec is missing; write an object");
        }
        if (errors.size() == errorsBefore && node.path("spec") instanceof ObjectNode spec) {
            RecordDocument document =
                    new RecordDocument(version.orElseThrow(), kind.orElseThrow(), name, spec, location);
            List<FieldError> fieldErrors =
                    SchemaValidator.validate(document.kind().fields(document.version()), spec);
            fieldErrors.forEach(error -> errors.add(location + ": " + document.key() + ": " + error));
            documents.add(document);
        }
    }

    /**
     * The records and the errors of a text.
     *
     * @param documents the parsed records, including those with errors in their spec
     * @param faults the errors, one line each; empty if all records are valid
     * @since 0.1.0
     */
    public record ReadResult(List<RecordDocument> documents, List<String> faults) {}
}
