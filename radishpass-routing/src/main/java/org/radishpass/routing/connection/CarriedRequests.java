package org.radishpass.routing.connection;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Remembers the ids of the latest requests on a connection. A second response to one of them may still arrive there, and would
 * be taken for the response to a request with the same id.
 *
 * @since 0.16.0
 */
public final class CarriedRequests {
    /** More than the sends of one request, and than the responses by which a repeated one may be late. */
    static final int MAX_IDS = 64;

    private final Deque<String> ids = new ArrayDeque<>();

    /** Records that a request is sent on the connection. */
    public void add(String requestId) {
        if (ids.size() == MAX_IDS) {
            ids.removeFirst();
        }
        ids.addLast(requestId);
    }

    /** Tells whether a request with this id was sent on the connection recently. */
    public boolean contains(String requestId) {
        return ids.contains(requestId);
    }
}
