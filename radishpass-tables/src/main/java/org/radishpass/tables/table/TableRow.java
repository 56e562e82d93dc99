package org.radishpass.tables.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A row as a transaction saw it.
 *
 * @param key the key
 * @param version the version that checks compare; 0 where there is no row
 * @param value the content, or null where there is no row
 * @since 0.1.0
 */
public record TableRow(String key, long version, @Nullable JsonNode value) {
    /** Returns the content, if there is a row. */
    public Optional<JsonNode> content() {
        return Optional.ofNullable(value);
    }
}
