package org.radishpass.routing.control;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Remembers something of endpoints that may be gone already, because a peer may still keep them. Bounded: the oldest are forgotten.
 *
 * @param <V> what is remembered
 */
final class RecentNames<V> extends LinkedHashMap<String, V> {
    /** Names that are remembered: several times the endpoints of the largest deployment, each started again once. */
    static final int MOST_REMEMBERED = 8_192;

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.@Nullable Entry<String, V> eldest) {
        return size() > MOST_REMEMBERED;
    }
}
