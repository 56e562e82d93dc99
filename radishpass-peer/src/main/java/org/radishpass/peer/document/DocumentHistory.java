package org.radishpass.peer.document;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The latest versions of a document. A receiver that has one of them can be sent a delta instead of the whole document.
 * Not thread-safe.
 *
 * @since 0.4.0
 */
public final class DocumentHistory {
    /**
     * The number of versions kept. A router that was disconnected for some seconds during a burst of changes still has
     * one of them.
     */
    static final int MAX_VERSIONS = 8;

    /**
     * The total size of all versions but the newest, in bytes: an eighth of the 32 MB that a router's control plane may
     * use.
     */
    static final int MAX_OLD_BYTES = 4 * 1024 * 1024;

    private final Deque<SharedDocument> versions = new ArrayDeque<>();
    private int oldBytes;

    /**
     * Adds the newest version and removes the oldest ones that exceed the limits.
     *
     * @param document the newest version
     */
    public void add(SharedDocument document) {
        if (!versions.isEmpty()) {
            oldBytes += versions.getLast().bytes().length;
        }
        versions.addLast(document);
        while (versions.size() > MAX_VERSIONS || (oldBytes > MAX_OLD_BYTES && versions.size() > 1)) {
            oldBytes -= versions.removeFirst().bytes().length;
        }
    }

    /** Returns the newest version; {@link SharedDocument#NONE} before one was added. */
    public SharedDocument newest() {
        return versions.isEmpty() ? SharedDocument.NONE : versions.getLast();
    }

    /**
     * Returns the version with a given hash, if it is still kept.
     *
     * @param hash the hash of the version
     */
    public Optional<SharedDocument> find(String hash) {
        return versions.stream().filter(version -> version.hash().equals(hash)).findFirst();
    }
}
