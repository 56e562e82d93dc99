package org.radishpass.routing.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/**
 * Maintains this router's list of endpoints from reads of a store that may fail, be delayed or miss entries. The class
 * has no clock of its own and is confined to the control thread. An endpoint registers under a name, and each start of
 * its process is one <em>incarnation</em>.
 *
 * <ul>
 *   <li>An incarnation that is leaving, according to its entry or to one of its responses, never becomes available
 *       again; a later incarnation of the same name may. An incarnation that was replaced by another never returns,
 *       whichever source lists it.
 *   <li>An endpoint that a read does not contain is gone, unless no router could read the store for a while before:
 *       registrations expire while the store is unavailable and are renewed once it is back. The list of a peer that
 *       has read the store without interruption then takes precedence.
 *   <li>The same applies after the store was restored from a snapshot, which may lack registrations. The snapshot may
 *       also contain endpoints that are gone. These are suppressed for as long as it takes such an entry to expire.
 *   <li>An entry that becomes unusable no longer describes an endpoint.
 *   <li>A read that is older than the last one, by the store's era and revision, is ignored.
 * </ul>
 *
 * @since 0.2.0
 */
public final class DirectoryTracker {
    private final Map<String, ServiceEndpoint> endpointsById = new LinkedHashMap<>();
    private final LeavingIncarnations leavingIncarnations = new LeavingIncarnations();
    private final Set<String> retainedIds = new HashSet<>();
    private final ReplacedIncarnations replacedIncarnations = new ReplacedIncarnations();
    private final GoneIncarnations goneIncarnations = new GoneIncarnations();
    private final ReadContinuity continuity = new ReadContinuity();
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private long readAtMillis = StoreClock.UNKNOWN_MILLIS;
    private long ownReadStoreMillis = StoreClock.UNKNOWN_MILLIS;
    private @Nullable ReadFailure lastReadFailure;
    private long storeAnsweredAtMillis = StoreClock.UNKNOWN_MILLIS;
    private String source = DirectoryOrigin.UNKNOWN.source();
    private long hash;
    private EndpointDirectory directory = EndpointDirectory.EMPTY;

    /** Returns the store read on which the list is based. */
    EndpointListVersion listVersion() {
        return listVersion;
    }

    /** Tells whether a list of endpoints has been read or received. */
    public boolean known() {
        return listVersion.position().known();
    }

    /**
     * Returns a lower bound for the time at which the store was last read for this list, on the monotonic clock in
     * milliseconds.
     */
    public long readAtMillis() {
        return readAtMillis;
    }

    /**
     * Returns when this router itself last read the store, on the store's clock in milliseconds; {@link
     * StoreClock#UNKNOWN_MILLIS} if it has not read in this era.
     */
    long ownReadStoreMillis() {
        return ownReadStoreMillis;
    }

    /** Returns the current endpoints. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** Returns which router read the list, and at which position and time. */
    public DirectoryOrigin origin() {
        return new DirectoryOrigin(listVersion.position(), readAtMillis, source, listVersion.settled());
    }

    /** Returns the list in the form in which it is sent to peers. */
    EndpointSnapshot snapshot() {
        return new EndpointSnapshot(listVersion, List.copyOf(endpointsById.values()), Set.copyOf(retainedIds));
    }

    /** Returns a hash of the list; routers with equal lists have equal hashes. */
    public long hash() {
        return hash;
    }

    /**
     * Records that a read of the store failed.
     *
     * @param failure the kind of failure
     * @param askedAtMillis when the request was sent, on the monotonic clock in milliseconds
     * @return whether the previous read succeeded or failed in another way
     */
    public boolean noteReadFailure(ReadFailure failure, long askedAtMillis) {
        boolean firstFailure = lastReadFailure != failure;
        lastReadFailure = failure;
        if (!failure.registrationsMayExpire()) {
            storeAnsweredAtMillis = Math.max(storeAnsweredAtMillis, askedAtMillis);
        }
        return firstFailure;
    }

    /** Tells whether the last read of the store failed. */
    public boolean lastReadFailed() {
        return lastReadFailure != null;
    }

    /**
     * Applies a read of the store by this router.
     *
     * @param listed the store's response
     * @param askedAtMillis when the request was sent, on the monotonic clock in milliseconds
     * @return whether the list has changed
     */
    public boolean applyOwnRead(DirectoryReadResult.Listed listed, long askedAtMillis) {
        boolean firstList = !known();
        if (useOfRead(listed.position()) != ReadUse.USED) {
            lastReadFailure = null;
            return false;
        }
        boolean restored = known() && listed.position().inLaterEraThan(listVersion.position());
        boolean settled = updateContinuity(askedAtMillis, restored);
        lastReadFailure = null;
        listVersion = new EndpointListVersion(listed.position(), listed.storeMillis(), settled);
        readAtMillis = Math.max(readAtMillis, askedAtMillis);
        ownReadStoreMillis = listed.storeMillis();
        source = DirectoryOrigin.STORE;
        listed.unusable().forEach(entry -> removeUnlisted(entry.name(), listed.endpoints()));
        listed.endpoints().stream()
                .filter(ServiceEndpoint::leaving)
                .forEach(endpoint -> leavingIncarnations.confirmedByStore(endpoint.id()));
        if (restored) {
            goneIncarnations.storeRestored(listed.storeMillis());
            leavingIncarnations.storeRestored(listed.endpoints());
        }
        return replaceEndpoints(listed.endpoints(), Set.of(), continuity.retainsMissing()) || firstList;
    }

    /** Returns whether a read by this router at a given position would be used or ignored. */
    ReadUse useOfRead(StorePosition read) {
        return ReadUse.of(read, listVersion.position());
    }

    private boolean updateContinuity(long askedAtMillis, boolean restored) {
        boolean storeMayHaveBeenUnavailable = lastReadFailure == ReadFailure.STORE_UNAVAILABLE || listVersion.settled();
        long answeredAtMillis = Math.max(readAtMillis, storeAnsweredAtMillis);
        if (!known()) {
            continuity.firstRead(askedAtMillis);
        } else if (restored || ReadContinuity.isGap(askedAtMillis - answeredAtMillis, storeMayHaveBeenUnavailable)) {
            continuity.interrupted(askedAtMillis);
        }
        return continuity.settled(askedAtMillis);
    }

    /**
     * Applies a peer's list, if it may replace this router's list.
     *
     * @param list the peer's list
     * @param peerReadAtMillis the earliest time at which the store was read for the peer's list, on this router's
     *     monotonic clock in milliseconds
     * @param peer the peer's id
     * @return whether the list has changed
     */
    boolean applyPeerList(EndpointSnapshot list, long peerReadAtMillis, String peer) {
        if (known() && !list.version().supersedes(listVersion)) {
            return false;
        }
        boolean firstList = !known();
        boolean retainMissing = !firstList && !list.version().settled();
        adoptVersion(list.version(), peerReadAtMillis, peer);
        return replaceEndpoints(list.endpoints(), list.retainedIds(), retainMissing) || firstList;
    }

    /**
     * Records that a peer's list equals this router's list.
     *
     * @param peerVersion the store read on which the peer's list is based
     * @param peerReadAtMillis the earliest time of that read, on this router's monotonic clock in milliseconds
     * @param peer the peer's id
     */
    void confirmedByPeer(EndpointListVersion peerVersion, long peerReadAtMillis, String peer) {
        if (peerVersion.supersedes(listVersion)) {
            adoptVersion(peerVersion, peerReadAtMillis, peer);
        }
    }

    private void adoptVersion(EndpointListVersion newVersion, long peerReadAtMillis, String peer) {
        boolean restored = newVersion.inLaterEraThan(listVersion);
        if (!known() || restored) {
            continuity.interrupted(peerReadAtMillis);
        }
        if (restored) {
            ownReadStoreMillis = StoreClock.UNKNOWN_MILLIS;
            goneIncarnations.storeRestored(newVersion.storeMillis());
        }
        listVersion = newVersion;
        readAtMillis = Math.max(readAtMillis, peerReadAtMillis);
        source = peer;
        if (newVersion.settled()) {
            continuity.settledByPeer();
        }
    }

    /**
     * Records that another incarnation now uses an endpoint's address. The endpoint is treated as leaving.
     *
     * @param id the endpoint's id
     * @return whether the endpoint was listed and not yet leaving
     */
    public boolean addressTakenOver(String id) {
        ServiceEndpoint endpoint = endpointsById.get(id);
        if (endpoint == null || endpoint.leaving()) {
            return false;
        }
        leavingIncarnations.add(id);
        endpointsById.put(id, endpoint.asLeaving());
        updateDerivedState();
        return true;
    }

    /**
     * Records that an endpoint stated in a response, to this router or to a peer, that it is leaving. The endpoint need
     * not be listed yet.
     *
     * @param id the endpoint's id
     * @return whether the endpoint was not known to be leaving
     * @since 0.6.0
     */
    public boolean statedLeaving(String id) {
        if (!leavingIncarnations.addStated(id)) {
            return false;
        }
        ServiceEndpoint endpoint = endpointsById.get(id);
        if (endpoint != null) {
            endpointsById.put(id, endpoint.asLeaving());
            updateDerivedState();
        }
        return true;
    }

    /**
     * Returns the ids of leaving endpoints to include in the next message to peers. The endpoints stated it in their
     * own responses, and the store has not confirmed it yet.
     */
    List<String> leavingToAnnounce() {
        return leavingIncarnations.nextToAnnounce();
    }

    private boolean replaceEndpoints(
            Collection<ServiceEndpoint> endpoints, Set<String> retainedByPeer, boolean retainMissing) {
        Map<String, ServiceEndpoint> before = new LinkedHashMap<>(endpointsById);
        if (!retainMissing) {
            endpointsById.clear();
        }
        retainedIds.clear();
        retainedIds.addAll(endpointsById.keySet());
        for (ServiceEndpoint endpoint : endpoints) {
            boolean retainedOnly = retainedByPeer.contains(endpoint.id());
            if (hasEnded(endpoint, retainedOnly)) {
                continue;
            }
            if (!retainedOnly) {
                retainedIds.remove(endpoint.id());
            }
            replacedIncarnations.recordLatest(endpoint).ifPresent(endpointsById::remove);
            if (endpoint.leaving()) {
                leavingIncarnations.add(endpoint.id());
            }
            ServiceEndpoint endpointToList = withStableColdEnd(endpoint, before.get(endpoint.id()));
            endpointsById.put(
                    endpoint.id(),
                    leavingIncarnations.contains(endpoint.id()) ? endpointToList.asLeaving() : endpointToList);
        }
        retainedIds.addAll(retainedByPeer);
        retainedIds.retainAll(endpointsById.keySet());
        leavingIncarnations.retainUnconfirmed(endpointsById.keySet());
        endpointsById.keySet().forEach(goneIncarnations::noteListed);
        before.keySet().stream().filter(id -> !endpointsById.containsKey(id)).forEach(goneIncarnations::noteGone);
        updateDerivedState();
        return !before.equals(endpointsById);
    }

    /** Tells whether a listed incarnation is known to have ended. */
    private boolean hasEnded(ServiceEndpoint endpoint, boolean retainedOnly) {
        long readMillis = listVersion.storeMillis();
        return replacedIncarnations.isReplaced(endpoint)
                || (retainedOnly && replacedIncarnations.differsFromLatest(endpoint))
                || goneIncarnations.suppresses(endpoint.id(), readMillis)
                || (goneIncarnations.mayListStaleEntries(readMillis)
                        && replacedIncarnations.startedBeforeLatest(endpoint));
    }

    /**
     * Returns an endpoint with the end of its cold period as it was first read. An entry states how long the endpoint
     * stays cold as of the entry's last renewal, so the computed end shifts with each read. Keeping the first value
     * lets routers that read at different times obtain equal lists.
     */
    private static ServiceEndpoint withStableColdEnd(ServiceEndpoint read, @Nullable ServiceEndpoint before) {
        if (before == null) {
            return read;
        }
        long differenceMillis = Math.abs(read.coldUntilStoreMillis() - before.coldUntilStoreMillis());
        boolean sameColdPeriod = read.coldUntilStoreMillis() == ServiceEndpoint.NEVER_COLD
                || differenceMillis <= ColdEndpoints.ENTRY_UPDATE_DELAY_MILLIS;
        return sameColdPeriod ? read.withColdUntil(before.coldUntilStoreMillis()) : read;
    }

    /** Removes the endpoint whose entry has become unusable, unless another entry lists an endpoint of that name. */
    private void removeUnlisted(String name, Collection<ServiceEndpoint> listed) {
        if (listed.stream().noneMatch(endpoint -> endpoint.name().equals(name))) {
            endpointsById.values().removeIf(endpoint -> endpoint.name().equals(name));
        }
    }

    private void updateDerivedState() {
        hash = hashOf(endpointsById.values(), listVersion.storeMillis());
        directory = new EndpointDirectory(endpointsById.values());
    }

    /** Hashes the endpoints independently of their order. */
    private static long hashOf(Collection<ServiceEndpoint> endpoints, long storeMillis) {
        long sum = endpoints.size();
        for (ServiceEndpoint endpoint : endpoints) {
            boolean cold = endpoint.coldUntilStoreMillis() > storeMillis;
            sum += Rendezvous.mix(endpoint.hash(), (endpoint.leaving() ? 1 : 2) + (cold ? 2 : 0));
        }
        return sum;
    }
}
