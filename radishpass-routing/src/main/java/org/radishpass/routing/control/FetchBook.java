package org.radishpass.routing.control;

import java.util.HashMap;
import java.util.Map;

/**
 * The documents that are being fetched from peers. One peer that does not answer must not hold up another that would: each is asked
 * once at a time, and the next after a moment, up to a bound. Belongs to the control thread.
 */
final class FetchBook {
    /** Milliseconds after which the next peer is asked too: five times what a document takes within a region. */
    static final long NEXT_PEER_MILLIS = 250;

    /** Peers that are asked for one document at the same time: it has to come although two of them are frozen. */
    static final int MOST_PEERS = 3;

    private final Map<String, Map<String, Long>> startsByName = new HashMap<>();

    /**
     * Begins a fetch, if that is due.
     *
     * @param name the document
     * @param peer the peer
     * @param startMillis when the peer is asked, on the monotonic clock in milliseconds
     * @return whether it is to be asked
     */
    boolean begin(String name, String peer, long startMillis) {
        Map<String, Long> starts = startsByName.computeIfAbsent(name, document -> new HashMap<>());
        boolean early = starts.values().stream().anyMatch(start -> startMillis - start < NEXT_PEER_MILLIS);
        if (early || starts.size() >= MOST_PEERS || starts.containsKey(peer)) {
            return false;
        }
        starts.put(peer, startMillis);
        return true;
    }

    /** Ends a fetch, whatever came of it. */
    void end(String name, String peer) {
        startsByName.getOrDefault(name, new HashMap<>()).remove(peer);
    }
}
