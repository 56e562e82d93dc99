package org.radishpass.tables.vmlist;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.records.RecordJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the VM list entry by entry, so that an entry of another writer does not affect the other entries, whatever it
 * holds. Not thread-safe.
 */
final class VmListDecoder {
    private static final Logger LOG = LoggerFactory.getLogger(VmListDecoder.class);

    /**
     * The maximum nesting depth of the whole list, beyond which it is rejected. Entries are skipped without recursion, and
     * each level takes about 100 bytes while its entry is skipped. A single entry is limited by the default of the parser.
     */
    private static final int MAX_LIST_DEPTH = 100_000;

    /** The number of entries that are reported one by one for each list. */
    private static final int MAX_REPORTED_ENTRIES = 20;

    /** The number of characters of a reason that are logged. */
    private static final int MAX_REASON_CHARACTERS = 160;

    /** Finds the entries. Numbers of any length are skipped, because they are not converted. */
    private static final JsonFactory ENTRY_FINDER = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_LIST_DEPTH)
                    .maxNumberLength(Integer.MAX_VALUE)
                    .build())
            .build();

    private List<String> reported = List.of();

    /**
     * Decodes a list. Entries that do not describe a VM are left out and logged, when they first appear.
     *
     * @param bytes the list as JSON in UTF-8
     * @throws IOException if the list as a whole is malformed or truncated
     */
    List<VmListing> decode(byte[] bytes) throws IOException {
        List<VmListing> listings = new ArrayList<>();
        List<String> unusable = new ArrayList<>();
        try (JsonParser parser = ENTRY_FINDER.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("the VM list is not a JSON object");
            }
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                JsonToken value = parser.nextToken();
                if (name.equals("vms") && value == JsonToken.START_ARRAY) {
                    decodeEntries(parser, bytes, listings, unusable);
                } else {
                    parser.skipChildren();
                }
            }
            if (parser.currentToken() != JsonToken.END_OBJECT) {
                throw new IOException("the VM list is truncated");
            }
        }
        report(unusable);
        return listings;
    }

    private static void decodeEntries(JsonParser parser, byte[] bytes, List<VmListing> listings, List<String> unusable)
            throws IOException {
        for (int number = 0; parser.nextToken() != JsonToken.END_ARRAY; number++) {
            if (parser.currentToken() == null) {
                throw new IOException("the VM list is truncated");
            }
            int from = (int) parser.currentTokenLocation().getByteOffset();
            parser.skipChildren();
            int to = (int) parser.currentLocation().getByteOffset();
            try {
                listing(RecordJson.mapper().readTree(bytes, from, to - from)).ifPresent(listings::add);
            } catch (IOException | RuntimeException | StackOverflowError e) {
                unusable.add("entry " + number + ": " + reason(e));
            }
        }
    }

    /** Returns the VM of an entry; empty for a VM of a kind that this release does not know. */
    private static Optional<VmListing> listing(JsonNode vm) {
        if (!vm.isObject()) {
            throw new IllegalArgumentException("it is a JSON " + vm.getNodeType());
        }
        return VmKind.byName(vm.path("kind").asText())
                .map(kind -> new VmListing(
                        vm.path("id").asText(),
                        vm.path("incarnation").asText(),
                        kind,
                        new DataCentre(vm.path("dataCentre").asText()),
                        new Address(vm.path("host").asText(), port(vm.path("port"))),
                        vm.path("leaving").asBoolean()));
    }

    /** Returns the port. A number that is converted may be cut to another one, which is the port of another process. */
    private static int port(JsonNode port) {
        if (!port.isIntegralNumber() || !port.canConvertToInt()) {
            throw new IllegalArgumentException("its port is no whole number of 32 bits");
        }
        return port.intValue();
    }

    private static String reason(Throwable error) {
        String text = error.toString();
        return text.substring(0, Math.min(text.length(), MAX_REASON_CHARACTERS));
    }

    private void report(List<String> unusable) {
        if (unusable.equals(reported)) {
            return;
        }
        reported = List.copyOf(unusable);
        unusable.stream()
                .limit(MAX_REPORTED_ENTRIES)
                .forEach(entry -> LOG.warn("ignoring {} of the VM list; the other entries are used", entry));
        if (unusable.size() > MAX_REPORTED_ENTRIES) {
            LOG.warn(
                    "{} entries of the VM list are ignored; only {} are reported one by one",
                    unusable.size(),
                    MAX_REPORTED_ENTRIES);
        }
    }
}
