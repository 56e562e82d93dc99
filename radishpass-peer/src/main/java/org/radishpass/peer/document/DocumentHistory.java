package org.radishpass.peer.document;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The last versions of a document, so that who has one of them is given what has changed since. A plain object; belongs to one thread.
 *
 * @since 0.4.0
 */
public final class DocumentHistory {
    /** Versions that are kept: a router that was cut off for some seconds of a storm of changes has one of them. */
    static final int MOST_VERSIONS = 8;

    /** Bytes that all versions but the newest may have: an eighth of what control may use on a router (32 MB). */
    static final int MOST_OLD_BYTES = 4 * 1024 * 1024;

    private final Deque<SharedDocument> versions = new ArrayDeque<>();
    private int oldBytes;

    /** Adds a newer version. */
    public void add(SharedDocument document) {
        if (!versions.isEmpty()) {
            oldBytes += versions.getLast().bytes().length;
        }
        versions.addLast(document);
        while (versions.size() > MOST_VERSIONS || (oldBytes > MOST_OLD_BYTES && versions.size() > 1)) {
            oldBytes -= versions.removeFirst().bytes().length;
        }
    }

    /** Returns the newest version. */
    public SharedDocument newest() {
        return versions.isEmpty() ? SharedDocument.NONE : versions.getLast();
    }

    /** Returns the version of a hash, if it is still kept. */
    public Optional<SharedDocument> find(String hash) {
        return versions.stream().filter(version -> version.hash().equals(hash)).findFirst();
    }
}
