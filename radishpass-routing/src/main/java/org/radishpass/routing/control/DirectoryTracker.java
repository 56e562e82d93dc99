package org.radishpass.routing.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * What is believed of the endpoints, from readings of the store that may fail, lag or lack entries. A plain object
 * without a clock; it belongs to the control thread.
 *
 * <ul>
 *   <li>An endpoint that has said that it leaves never comes back under the same id.
 *   <li>Absence from a reading means that an endpoint is gone, but not while the store is in trouble nor shortly after:
 *       registrations lapse meanwhile, and are renewed once the store is back.
 *   <li>A reading older than the last one is ignored.
 * </ul>
 *
 * @since 0.2.0
 */
public final class DirectoryTracker {
    /**
     * Milliseconds after the store's return during which absence means nothing. Endpoints renew their registration within
     * about two seconds of it.
     */
    public static final long GRACE_MILLIS = 2_300;

    private final Map<String, ServiceEndpoint> known = new LinkedHashMap<>();
    private final Set<String> left = new HashSet<>();
    private long revision = -1;
    private long readAtMillis = Long.MIN_VALUE / 2;
    private long ownReadAtMillis = Long.MIN_VALUE / 2;
    private long hash;
    private String source = DirectoryOrigin.UNKNOWN.source();
    private EndpointDirectory directory = EndpointDirectory.EMPTY;
    private boolean trouble;
    private long backSinceMillis = Long.MIN_VALUE / 2;

    /** Returns the store's revision of the last reading; -1 before the first. */
    public long revision() {
        return revision;
    }

    /** Tells whether a list of endpoints is known. */
    public boolean known() {
        return revision >= 0;
    }

    /** Returns when the store was read last, on the monotonic clock in milliseconds. */
    public long readAtMillis() {
        return readAtMillis;
    }

    /** Returns when this router itself read the store last, on the monotonic clock in milliseconds. */
    public long ownReadAtMillis() {
        return ownReadAtMillis;
    }

    /** Returns the endpoints as believed. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** Returns where the list comes from. */
    public DirectoryOrigin origin() {
        return new DirectoryOrigin(revision, readAtMillis, source);
    }

    /** Returns the endpoints as believed, for peers. */
    public List<ServiceEndpoint> endpoints() {
        return List.copyOf(known.values());
    }

    /**
     * Notes that the store could not be read.
     *
     * @return whether it could be read until now
     */
    public boolean failed() {
        boolean news = !trouble;
        trouble = true;
        return news;
    }

    /** Tells whether the last reading of the store failed. */
    public boolean trouble() {
        return trouble;
    }

    /**
     * Takes a reading of the store.
     *
     * @param newRevision the store's revision
     * @param endpoints all that are registered
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether what is believed has changed
     */
    public boolean listed(long newRevision, Collection<ServiceEndpoint> endpoints, long nowMillis) {
        if (newRevision < revision) {
            return false;
        }
        if (trouble) {
            trouble = false;
            backSinceMillis = nowMillis;
        }
        readAtMillis = nowMillis;
        ownReadAtMillis = nowMillis;
        source = DirectoryOrigin.STORE;
        boolean absenceCounts = nowMillis - backSinceMillis >= GRACE_MILLIS;
        return replace(newRevision, endpoints, absenceCounts);
    }

    /**
     * Takes a peer's list, which counts only if it is newer than the last reading.
     *
     * @param newRevision the store's revision at which the peer read it
     * @param endpoints all that the peer believes in
     * @param peerReadAtMillis when the peer read it, on this router's monotonic clock in milliseconds
     * @param peer the peer's id
     * @return whether what is believed has changed
     */
    public boolean peerListed(
            long newRevision, Collection<ServiceEndpoint> endpoints, long peerReadAtMillis, String peer) {
        if (newRevision <= revision) {
            return false;
        }
        readAtMillis = Math.max(readAtMillis, peerReadAtMillis);
        source = peer;
        return replace(newRevision, endpoints, true);
    }

    /**
     * Takes a peer's word that the list is still the same.
     *
     * @param newRevision the store's revision at which the peer read it
     * @param peerReadAtMillis when the peer read it, on this router's monotonic clock in milliseconds
     * @param peer the peer's id
     */
    public void confirmed(long newRevision, long peerReadAtMillis, String peer) {
        if (newRevision >= revision) {
            revision = newRevision;
            if (peerReadAtMillis > readAtMillis) {
                readAtMillis = peerReadAtMillis;
                source = peer;
            }
        }
    }

    /** Returns a hash of what is believed of the endpoints; equal for routers that believe the same. */
    public long hash() {
        return hash;
    }

    /**
     * Notes that an endpoint's address belongs to another start now.
     *
     * @param id the endpoint
     * @return whether this was news
     */
    public boolean gone(String id) {
        ServiceEndpoint endpoint = known.get(id);
        if (endpoint == null || endpoint.leaving()) {
            return false;
        }
        left.add(id);
        known.put(id, endpoint.asLeaving());
        changed();
        return true;
    }

    private boolean replace(long newRevision, Collection<ServiceEndpoint> endpoints, boolean absenceCounts) {
        boolean first = revision < 0;
        revision = newRevision;
        Map<String, ServiceEndpoint> before = new LinkedHashMap<>(known);
        if (absenceCounts) {
            known.clear();
        }
        for (ServiceEndpoint endpoint : endpoints) {
            if (endpoint.leaving()) {
                left.add(endpoint.id());
            }
            known.put(endpoint.id(), left.contains(endpoint.id()) ? endpoint.asLeaving() : endpoint);
        }
        left.retainAll(known.keySet());
        changed();
        return first || !before.equals(known);
    }

    private void changed() {
        hash = hashOf(known.values());
        directory = new EndpointDirectory(known.values());
    }

    /** The order of the endpoints does not matter. */
    private static long hashOf(Collection<ServiceEndpoint> endpoints) {
        long sum = endpoints.size();
        for (ServiceEndpoint endpoint : endpoints) {
            sum += Rendezvous.mix(endpoint.hash(), endpoint.leaving() ? 1 : 2);
        }
        return sum;
    }
}
