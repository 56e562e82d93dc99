package org.radishpass.peer.document;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodes the newest version of a document for a receiver: as a delta if the receiver's version is in the history, else
 * compressed. Receivers that have the same version share one cached result. Not thread-safe.
 *
 * @since 0.4.0
 */
public final class DocumentPacker {
    /** The number of cached results: one for each base version that is requested during a burst of changes. */
    private static final int MAX_CACHED = 8;

    private final Map<CacheKey, PackedDocument> cache = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CacheKey, PackedDocument> eldest) {
            return size() > MAX_CACHED;
        }
    };

    /**
     * Encodes the newest version.
     *
     * @param history the versions of the document
     * @param baseHash the hash of the version that the receiver has; empty if the receiver has none
     */
    public PackedDocument pack(DocumentHistory history, String baseHash) {
        SharedDocument newest = history.newest();
        return cache.computeIfAbsent(
                new CacheKey(newest.hash(), history.find(baseHash).isPresent() ? baseHash : ""),
                key -> pack(newest, history.find(key.baseHash).orElse(SharedDocument.NONE)));
    }

    private static PackedDocument pack(SharedDocument newest, SharedDocument base) {
        DocumentPacking packing = base.hash().isEmpty() ? DocumentPacking.COMPRESSED : DocumentPacking.DELTA;
        return new PackedDocument(packing, packing.pack(base.bytes(), newest.bytes()), newest.hash(), base.hash());
    }

    /**
     * The key of a cached result.
     *
     * @param hash the hash of the encoded version
     * @param baseHash the hash of the base version; empty for none
     */
    private record CacheKey(String hash, String baseHash) {}
}
