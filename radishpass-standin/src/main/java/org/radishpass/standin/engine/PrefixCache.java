package org.radishpass.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bounded cache of prompt prefixes in blocks of tokens, the least recently used given up first.
 *
 * @since 0.1.0
 */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final int mostBlocks;
    private final CacheEvents events;

    PrefixCache(int mostBlocks, CacheEvents events) {
        this.mostBlocks = mostBlocks;
        this.events = events;
    }

    /** Returns how many blocks from the start are cached. */
    synchronized int cachedBlocks(List<Long> chain) {
        int found = 0;
        for (Long block : chain) {
            if (blocks.get(block) == null) {
                break;
            }
            found++;
        }
        return found;
    }

    /** Takes blocks into the cache. */
    synchronized void add(List<Long> chain) {
        for (Long block : chain) {
            if (blocks.put(block, Boolean.TRUE) == null) {
                events.added(block);
            }
        }
        var oldest = blocks.entrySet().iterator();
        while (blocks.size() > mostBlocks && oldest.hasNext()) {
            Map.Entry<Long, Boolean> entry = oldest.next();
            events.removed(entry.getKey());
            oldest.remove();
        }
    }

    /** Returns all blocks, the least recently used first. */
    synchronized List<Long> export() {
        return new ArrayList<>(blocks.keySet());
    }

    /** Empties the cache. */
    synchronized void clear() {
        blocks.clear();
    }
}
