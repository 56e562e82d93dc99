package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The starts of endpoints that are leaving, from whichever source: the list, an answer of theirs, or a peer that had such an answer. None
 * of them ever takes new work again. Belongs to the control thread.
 */
final class LeavingStarts {
    /** Ids in one message to a peer: below a tenth of what a message of a busy router holds anyway. */
    static final int MOST_TOLD = 64;

    private final Map<String, Boolean> all = new RecentNames<>();
    private final Set<String> unconfirmed = new LinkedHashSet<>();

    /** Tells whether a start is leaving. */
    boolean contains(String id) {
        return all.containsKey(id);
    }

    /** Notes a start that a list shows as leaving, or whose address belongs to another one. */
    void add(String id) {
        all.put(id, true);
    }

    /**
     * Notes a start whose own answer stated that it is leaving, to this router or to a peer. Until the store confirms it peers are told.
     *
     * @return whether it was not known to be leaving
     */
    boolean stated(String id) {
        if (all.put(id, true) != null) {
            return false;
        }
        unconfirmed.add(id);
        return true;
    }

    /** Notes that the store itself shows a start as leaving. */
    void confirmed(String id) {
        unconfirmed.remove(id);
    }

    /**
     * Notes that the store was restored from a snapshot. Routers that start now read there that a start is open which has begun to leave since: peers are told
     * of it until the store confirms it again.
     *
     * @param listed the endpoints that the store lists
     */
    void storeRestored(Collection<ServiceEndpoint> listed) {
        listed.stream()
                .filter(endpoint -> !endpoint.leaving())
                .map(ServiceEndpoint::id)
                .filter(all::containsKey)
                .forEach(unconfirmed::add);
    }

    /** Ceases to tell of starts that are not listed any more. */
    void retain(Collection<String> listed) {
        unconfirmed.retainAll(listed);
    }

    /** Returns the starts of which the next message tells, all of them in turn where they are many. */
    List<String> toTell() {
        List<String> told = new ArrayList<>(unconfirmed).subList(0, Math.min(MOST_TOLD, unconfirmed.size()));
        List<String> next = List.copyOf(told);
        if (next.size() < unconfirmed.size()) {
            unconfirmed.removeAll(next);
            unconfirmed.addAll(next);
        }
        return next;
    }
}
