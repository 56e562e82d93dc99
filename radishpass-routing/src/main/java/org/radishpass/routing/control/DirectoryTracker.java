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
 * What is known of the endpoints, from readings of the store that may fail, lag or lack entries. A plain object
 * without a clock; it belongs to the control thread.
 *
 * <ul>
 *   <li>A start of an endpoint that is leaving, by its entry or by one of its answers, never serves again; another start under the same
 *       name may. A start that another one has replaced never comes back, whoever lists it.
 *   <li>Absence from a reading means that an endpoint is gone, but not after a time in which no router read the store: registrations
 *       lapse while it is away, and are renewed once it is back. A peer that read all the while knows better.
 *   <li>The same holds after a restore of the store from a snapshot, which may lack registrations. It may list again what was gone, which is
 *       held back for as long as such an entry lapses in.
 *   <li>An entry that turns unusable names no endpoint from then on.
 *   <li>A reading older than the last one, by era and revision of the store, is ignored.
 * </ul>
 *
 * @since 0.2.0
 */
public final class DirectoryTracker {
    private final Map<String, ServiceEndpoint> known = new LinkedHashMap<>();
    private final LeavingStarts leaving = new LeavingStarts();
    private final Set<String> kept = new HashSet<>();
    private final ReplacedStarts starts = new ReplacedStarts();
    private final GoneStarts gone = new GoneStarts();
    private final ReadingContinuity continuity = new ReadingContinuity();
    private ListReading reading = ListReading.NONE;
    private long readAtMillis = StoreClock.NEVER;
    private long ownReadStoreMillis = StoreClock.NEVER;
    private boolean trouble;
    private String source = DirectoryOrigin.UNKNOWN.source();
    private long hash;
    private EndpointDirectory directory = EndpointDirectory.EMPTY;

    /** Returns the reading that the list rests on. */
    ListReading reading() {
        return reading;
    }

    /** Tells whether a list of endpoints is known. */
    public boolean known() {
        return reading.position().known();
    }

    /** Returns when the store was read last at the earliest, on the monotonic clock in milliseconds. */
    public long readAtMillis() {
        return readAtMillis;
    }

    /** Returns when this router itself read the store last, on the store's clock in milliseconds. */
    long ownReadStoreMillis() {
        return ownReadStoreMillis;
    }

    /** Returns the endpoints. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** Returns where the list comes from. */
    public DirectoryOrigin origin() {
        return new DirectoryOrigin(reading.position(), readAtMillis, source, reading.settled());
    }

    /** Returns the list, for peers. */
    EndpointSnapshot snapshot() {
        return new EndpointSnapshot(reading, List.copyOf(known.values()), Set.copyOf(kept));
    }

    /** Returns a hash of the list; equal for routers with equal lists. */
    public long hash() {
        return hash;
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
     * Takes a reading of the store by this router.
     *
     * @param listed what the store answered
     * @param askedAtMillis when it was asked, on the monotonic clock in milliseconds
     * @return whether the list has changed
     */
    public boolean listed(DirectoryReading.Listed listed, long askedAtMillis) {
        boolean first = !known();
        if (useOf(listed.position()) != ReadingUse.USED) {
            trouble = false;
            return false;
        }
        boolean restored = known() && listed.position().inLaterEraThan(reading.position());
        boolean settled = settledBy(askedAtMillis, restored);
        trouble = false;
        reading = new ListReading(listed.position(), listed.storeMillis(), settled);
        readAtMillis = Math.max(readAtMillis, askedAtMillis);
        ownReadStoreMillis = listed.storeMillis();
        source = DirectoryOrigin.STORE;
        listed.unusable().forEach(entry -> forget(entry.name()));
        listed.endpoints().stream()
                .filter(ServiceEndpoint::leaving)
                .forEach(endpoint -> leaving.confirmed(endpoint.id()));
        if (restored) {
            gone.storeRestored(listed.storeMillis());
            leaving.storeRestored(listed.endpoints());
        }
        return replace(listed.endpoints(), Set.of(), continuity.keepsMissing()) || first;
    }

    /** Tells what becomes of a reading of the store by this router. */
    ReadingUse useOf(StorePosition read) {
        return ReadingUse.of(read, reading.position());
    }

    private boolean settledBy(long askedAtMillis, boolean restored) {
        boolean storeMayHaveBeenAway = trouble || reading.settled();
        if (!known()) {
            continuity.begun(askedAtMillis);
        } else if (restored || ReadingContinuity.isGap(askedAtMillis - readAtMillis, storeMayHaveBeenAway)) {
            continuity.interrupted(askedAtMillis);
        }
        return continuity.settled(askedAtMillis);
    }

    /**
     * Takes a peer's list, if it may replace this router's.
     *
     * @param list the peer's list
     * @param peerReadAtMillis when the store was read for it at the earliest, on this router's monotonic clock in milliseconds
     * @param peer the peer's id
     * @return whether the list has changed
     */
    boolean peerListed(EndpointSnapshot list, long peerReadAtMillis, String peer) {
        if (known() && !list.reading().supersedes(reading)) {
            return false;
        }
        boolean first = !known();
        boolean keep = !first && !list.reading().settled();
        confirm(list.reading(), peerReadAtMillis, peer);
        return replace(list.endpoints(), list.kept(), keep) || first;
    }

    /**
     * Takes a peer's confirmation that its list is equal.
     *
     * @param peerReading the reading that its list rests on
     * @param peerReadAtMillis when that was at the earliest, on this router's monotonic clock in milliseconds
     * @param peer the peer's id
     */
    void confirmed(ListReading peerReading, long peerReadAtMillis, String peer) {
        if (peerReading.supersedes(reading)) {
            confirm(peerReading, peerReadAtMillis, peer);
        }
    }

    private void confirm(ListReading newReading, long peerReadAtMillis, String peer) {
        boolean restored = newReading.inLaterEraThan(reading);
        if (!known() || restored) {
            continuity.interrupted(peerReadAtMillis);
        }
        if (restored) {
            ownReadStoreMillis = StoreClock.NEVER;
            gone.storeRestored(newReading.storeMillis());
        }
        reading = newReading;
        readAtMillis = Math.max(readAtMillis, peerReadAtMillis);
        source = peer;
        if (newReading.settled()) {
            continuity.settledByPeer();
        }
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
        leaving.add(id);
        known.put(id, endpoint.asLeaving());
        changed();
        return true;
    }

    /**
     * Notes an endpoint whose own answer stated that it is leaving, to this router or to a peer. The endpoint need not be listed yet.
     *
     * @param id the endpoint
     * @return whether this was news
     * @since 0.6.0
     */
    public boolean statedLeaving(String id) {
        if (!leaving.stated(id)) {
            return false;
        }
        ServiceEndpoint endpoint = known.get(id);
        if (endpoint != null) {
            known.put(id, endpoint.asLeaving());
            changed();
        }
        return true;
    }

    /** Returns endpoints whose own answers stated that they are leaving and of which peers are to be told now. */
    List<String> leavingToTell() {
        return leaving.toTell();
    }

    private boolean replace(Collection<ServiceEndpoint> endpoints, Set<String> keptThere, boolean keepMissing) {
        Map<String, ServiceEndpoint> before = new LinkedHashMap<>(known);
        if (!keepMissing) {
            known.clear();
        }
        kept.clear();
        kept.addAll(known.keySet());
        for (ServiceEndpoint endpoint : endpoints) {
            boolean keptOnly = keptThere.contains(endpoint.id());
            if (ended(endpoint, keptOnly)) {
                continue;
            }
            if (!keptOnly) {
                kept.remove(endpoint.id());
            }
            starts.replacing(endpoint).ifPresent(known::remove);
            if (endpoint.leaving()) {
                leaving.add(endpoint.id());
            }
            ServiceEndpoint steady = sameColdSpell(endpoint, before.get(endpoint.id()));
            known.put(endpoint.id(), leaving.contains(endpoint.id()) ? steady.asLeaving() : steady);
        }
        kept.addAll(keptThere);
        kept.retainAll(known.keySet());
        leaving.retain(known.keySet());
        known.keySet().forEach(gone::listed);
        before.keySet().stream().filter(id -> !known.containsKey(id)).forEach(gone::gone);
        changed();
        return !before.equals(known);
    }

    /** Tells whether a start that is listed is known to have ended. */
    private boolean ended(ServiceEndpoint endpoint, boolean keptOnly) {
        long readMillis = reading.storeMillis();
        return starts.replaced(endpoint)
                || (keptOnly && starts.otherKnown(endpoint))
                || gone.holdsBack(endpoint.id(), readMillis)
                || (gone.mayListWhatEnded(readMillis) && starts.earlierByItsClock(endpoint));
    }

    /**
     * Entries say how long an endpoint is still cold as of their last renewal, so that the end seems to move with each reading. The first
     * end that was read holds for that spell: routers that read at different moments then list the same.
     */
    private static ServiceEndpoint sameColdSpell(ServiceEndpoint read, @Nullable ServiceEndpoint before) {
        if (before == null) {
            return read;
        }
        long apartMillis = Math.abs(read.coldUntilStoreMillis() - before.coldUntilStoreMillis());
        boolean same = read.coldUntilStoreMillis() == ServiceEndpoint.NEVER_COLD
                || apartMillis <= ColdEndpoints.ENTRY_LAG_MILLIS;
        return same ? read.coldUntil(before.coldUntilStoreMillis()) : read;
    }

    private void forget(String name) {
        known.values().removeIf(endpoint -> endpoint.name().equals(name));
    }

    private void changed() {
        hash = hashOf(known.values(), reading.storeMillis());
        directory = new EndpointDirectory(known.values());
    }

    /** The order of the endpoints does not matter. */
    private static long hashOf(Collection<ServiceEndpoint> endpoints, long storeMillis) {
        long sum = endpoints.size();
        for (ServiceEndpoint endpoint : endpoints) {
            boolean cold = endpoint.coldUntilStoreMillis() > storeMillis;
            sum += Rendezvous.mix(endpoint.hash(), (endpoint.leaving() ? 1 : 2) + (cold ? 2 : 0));
        }
        return sum;
    }
}
