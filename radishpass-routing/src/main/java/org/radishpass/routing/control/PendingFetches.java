package org.radishpass.routing.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the documents that are being fetched from peers. A peer that does not answer must not block a fetch from
 * another peer. So each peer is asked for a document at most once at a time, and the next peer is asked after a short
 * delay, up to a bound. Confined to the control thread.
 */
final class PendingFetches {
    /**
     * Milliseconds after which a fetch from the next peer may start: five times the transfer time of a document within
     * a region.
     */
    static final long NEXT_PEER_DELAY_MILLIS = 250;

    /**
     * Maximum number of peers that are asked for one document at the same time. The document must arrive although two
     * of them are frozen.
     */
    static final int MAX_CONCURRENT_PEERS = 3;

    private final Map<String, Map<String, Long>> startsByDocument = new HashMap<>();

    /**
     * Starts a fetch, unless it is too early, too many peers have been asked, or this peer has already been asked.
     *
     * @param name the name of the document
     * @param peer the id of the peer
     * @param startMillis when the peer is to be asked, in milliseconds on the monotonic clock
     * @return whether the peer is to be asked
     */
    boolean tryBegin(String name, String peer, long startMillis) {
        Map<String, Long> starts = startsByDocument.computeIfAbsent(name, document -> new HashMap<>());
        boolean tooEarly = starts.values().stream().anyMatch(start -> startMillis - start < NEXT_PEER_DELAY_MILLIS);
        if (tooEarly || starts.size() >= MAX_CONCURRENT_PEERS || starts.containsKey(peer)) {
            return false;
        }
        starts.put(peer, startMillis);
        return true;
    }

    /** Ends a fetch, whether it succeeded or failed. */
    void end(String name, String peer) {
        startsByDocument.getOrDefault(name, new HashMap<>()).remove(peer);
    }
}
