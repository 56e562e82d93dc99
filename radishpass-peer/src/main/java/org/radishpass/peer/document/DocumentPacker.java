package org.radishpass.peer.document;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Packs documents for those who ask for them: against the version that they have where that is known here, else compressed. A version is
 * packed once for all that have the same one. Belongs to one thread.
 *
 * @since 0.4.0
 */
public final class DocumentPacker {
    /** Packed forms that are kept: one for each version that is asked against, in a storm of changes. */
    private static final int MOST_KEPT = 8;

    private final Map<Key, PackedDocument> kept = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, PackedDocument> eldest) {
            return size() > MOST_KEPT;
        }
    };

    /**
     * Packs the newest version.
     *
     * @param history the versions
     * @param baseHash the hash of the version that the receiver has; empty if it has none
     */
    public PackedDocument pack(DocumentHistory history, String baseHash) {
        SharedDocument newest = history.newest();
        return kept.computeIfAbsent(
                new Key(newest.hash(), history.find(baseHash).isPresent() ? baseHash : ""),
                key -> pack(newest, history.find(key.baseHash).orElse(SharedDocument.NONE)));
    }

    private static PackedDocument pack(SharedDocument newest, SharedDocument base) {
        DocumentPacking packing = base.hash().isEmpty() ? DocumentPacking.COMPRESSED : DocumentPacking.DELTA;
        return new PackedDocument(packing, packing.pack(base.bytes(), newest.bytes()), newest.hash(), base.hash());
    }

    /** One version, for those that have another. */
    private record Key(String hash, String baseHash) {}
}
