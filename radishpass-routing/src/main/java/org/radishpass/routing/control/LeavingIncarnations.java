package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Remembers the endpoint incarnations that are leaving, whichever source reported it: the endpoint list, a response of
 * the endpoint, or a peer that received such a response. None of them is sent new requests again. Confined to the
 * control thread.
 */
final class LeavingIncarnations {
    /**
     * Maximum number of ids in a message to a peer. They take less than a tenth of the size of a busy router's message.
     */
    static final int MAX_IDS_PER_MESSAGE = 64;

    private final Map<String, Boolean> leavingIds = new BoundedMap<>();
    private final Set<String> unconfirmedIds = new LinkedHashSet<>();

    /** Tells whether an incarnation is leaving. */
    boolean contains(String id) {
        return leavingIds.containsKey(id);
    }

    /** Records an incarnation that a list shows as leaving, or whose address another incarnation now uses. */
    void add(String id) {
        leavingIds.put(id, true);
    }

    /**
     * Records an incarnation that stated in a response, to this router or to a peer, that it is leaving. It is
     * announced to peers until the store confirms it.
     *
     * @return whether the incarnation was not known to be leaving
     */
    boolean addStated(String id) {
        if (leavingIds.put(id, true) != null) {
            return false;
        }
        unconfirmedIds.add(id);
        return true;
    }

    /** Records that the store itself lists an incarnation as leaving. */
    void confirmedByStore(String id) {
        unconfirmedIds.remove(id);
    }

    /**
     * Announces again the leaving incarnations that a restored store lists as available. Routers that start after the
     * restore read the outdated entries, so peers are told until the store confirms again that these incarnations are
     * leaving.
     *
     * @param listed the endpoints that the store lists
     */
    void storeRestored(Collection<ServiceEndpoint> listed) {
        listed.stream()
                .filter(endpoint -> !endpoint.leaving())
                .map(ServiceEndpoint::id)
                .filter(leavingIds::containsKey)
                .forEach(unconfirmedIds::add);
    }

    /** Stops announcing incarnations that are no longer listed. */
    void retainUnconfirmed(Collection<String> listed) {
        unconfirmedIds.retainAll(listed);
    }

    /**
     * Returns the ids to announce in the next message. If there are more than fit, successive messages cycle through
     * all of them.
     */
    List<String> nextToAnnounce() {
        List<String> firstIds =
                new ArrayList<>(unconfirmedIds).subList(0, Math.min(MAX_IDS_PER_MESSAGE, unconfirmedIds.size()));
        List<String> ids = List.copyOf(firstIds);
        if (ids.size() < unconfirmedIds.size()) {
            unconfirmedIds.removeAll(ids);
            unconfirmedIds.addAll(ids);
        }
        return ids;
    }
}
