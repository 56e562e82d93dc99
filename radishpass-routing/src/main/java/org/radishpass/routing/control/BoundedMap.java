package org.radishpass.routing.control;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Map with a bounded number of entries that evicts the oldest ones. It stores facts about endpoints by id or name, also
 * of endpoints that are gone, because peers may still list them.
 *
 * @param <V> the type of the values
 */
final class BoundedMap<V> extends LinkedHashMap<String, V> {
    /** Maximum number of entries: several times the endpoints of the largest deployment, with one restart of each. */
    static final int MAX_ENTRIES = 8_192;

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.@Nullable Entry<String, V> eldest) {
        return size() > MAX_ENTRIES;
    }
}
