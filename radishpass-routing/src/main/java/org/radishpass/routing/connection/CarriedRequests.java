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

    /**
     * Tells whether a response to an earlier request could be taken for the response to a request with this id. An empty id
     * tells no request apart.
     */
    public boolean mayBeConfused(String requestId) {
        return requestId.isEmpty() ? !ids.isEmpty() : ids.contains(requestId);
    }
}
