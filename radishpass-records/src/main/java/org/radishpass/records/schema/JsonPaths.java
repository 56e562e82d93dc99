package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads, writes and removes values in a JSON tree by paths of field names, separated by dots.
 *
 * @since 0.1.0
 */
final class JsonPaths {
    private JsonPaths() {
        // static methods only
    }

    static JsonNode read(JsonNode root, String path) {
        JsonNode node = root;
        for (String fieldName : path.split("\\.", -1)) {
            node = node.path(fieldName);
        }
        return node.isNull() ? MissingNode.getInstance() : node;
    }

    static void write(ObjectNode root, String path, JsonNode value) {
        int lastDot = path.lastIndexOf('.');
        ObjectNode parent = root;
        if (lastDot >= 0) {
            for (String fieldName : path.substring(0, lastDot).split("\\.", -1)) {
                JsonNode next = parent.get(fieldName);
                parent = next instanceof ObjectNode object ? object : parent.putObject(fieldName);
            }
        }
        parent.set(path.substring(lastDot + 1), value);
    }

    static void remove(ObjectNode root, String path) {
        int lastDot = path.lastIndexOf('.');
        JsonNode parent = lastDot < 0 ? root : read(root, path.substring(0, lastDot));
        if (parent instanceof ObjectNode object) {
            object.remove(path.substring(lastDot + 1));
        }
    }
}
