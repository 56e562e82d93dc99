package org.radishpass.tables.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A row of the table, as a transaction read it.
 *
 * @param key the key of the row
 * @param version the version that checks compare; 0 if the row does not exist
 * @param value the content, or null if the row does not exist
 * @since 0.1.0
 */
public record TableRow(String key, long version, @Nullable JsonNode value) {
    /** Returns the content of the row; empty if the row does not exist. */
    public Optional<JsonNode> content() {
        return Optional.ofNullable(value);
    }
}
