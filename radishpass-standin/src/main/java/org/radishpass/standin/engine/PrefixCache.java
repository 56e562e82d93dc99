package org.radishpass.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bounded cache of prompt prefixes in blocks of tokens, with eviction of the least recently used block.
 *
 * @since 0.1.0
 */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final int maxBlocks;
    private final CacheEvents events;

    PrefixCache(int maxBlocks, CacheEvents events) {
        this.maxBlocks = maxBlocks;
        this.events = events;
    }

    /** Returns how many leading blocks of a prompt are cached. */
    synchronized int cachedPrefixBlocks(List<Long> blockHashes) {
        int cached = 0;
        for (Long block : blockHashes) {
            if (blocks.get(block) == null) {
                break;
            }
            cached++;
        }
        return cached;
    }

    /** Adds a prompt's blocks to the cache and evicts the least recently used blocks above the capacity. */
    synchronized void add(List<Long> blockHashes) {
        for (Long block : blockHashes) {
            if (blocks.put(block, Boolean.TRUE) == null) {
                events.blockAdded(block);
            }
        }
        var oldest = blocks.entrySet().iterator();
        while (blocks.size() > maxBlocks && oldest.hasNext()) {
            Map.Entry<Long, Boolean> entry = oldest.next();
            events.blockRemoved(entry.getKey());
            oldest.remove();
        }
    }

    /** Returns the hashes of all cached blocks, the least recently used first. */
    synchronized List<Long> export() {
        return new ArrayList<>(blocks.keySet());
    }

    /** Removes all blocks without publishing cache events. */
    synchronized void clear() {
        blocks.clear();
    }
}
