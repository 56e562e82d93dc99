package org.radishpass.routing.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.radishpass.peer.message.WorkScope;

/**
 * The work in flight at each endpoint: this router's own, and what its peers told last.
 *
 * <p>Belongs to the traffic thread. A peer that has not been heard of for a while counts as having nothing in flight: it
 * may be cut off or gone, and its old figures would keep endpoints out of use.
 *
 * @since 0.2.0
 */
public final class InFlightBook {
    /** Milliseconds without word from a peer until its work no longer counts: six missed messages. */
    public static final long PEER_MEMORY_MILLIS = 3_000;

    /** Milliseconds for which the word on all others' work makes that of single groups needless: five messages. */
    static final long COVERED_MILLIS = 1_000;

    private final Map<String, InFlight> own = new HashMap<>();
    private final Map<String, InFlight> total = new HashMap<>();
    private final Map<String, PeerWork> peers = new HashMap<>();
    private final Set<String> changed = new HashSet<>();
    private long coveredUntilMillis = Long.MIN_VALUE;

    /**
     * Counts a request that is about to be sent.
     *
     * @param endpointId the endpoint
     * @param tokens its prompt tokens and the most tokens that it may generate
     */
    public void started(String endpointId, long tokens) {
        add(endpointId, new InFlight(1, tokens));
    }

    /**
     * Counts a request that has ended, however it did.
     *
     * @param endpointId the endpoint
     * @param tokens the tokens that were counted at its start
     */
    public void ended(String endpointId, long tokens) {
        add(endpointId, new InFlight(-1, -tokens));
    }

    /**
     * Returns all work known to be in flight at an endpoint.
     *
     * @param endpointId the endpoint
     */
    public InFlight at(String endpointId) {
        return total.getOrDefault(endpointId, InFlight.NONE);
    }

    /**
     * Returns this router's own work in flight at an endpoint.
     *
     * @param endpointId the endpoint
     */
    public InFlight ownAt(String endpointId) {
        return own.getOrDefault(endpointId, InFlight.NONE);
    }

    /** Returns this router's own work at every endpoint that has some. */
    public Map<String, InFlight> ownWork() {
        return Map.copyOf(own);
    }

    /** Returns what has changed in this router's own work since the last call. */
    public Map<String, InFlight> takeChanges() {
        Map<String, InFlight> changes = new HashMap<>();
        changed.forEach(id -> changes.put(id, ownAt(id)));
        changed.clear();
        return changes;
    }

    /** Returns this router's own work and that which members of its group told it. */
    public Map<String, InFlight> groupWork() {
        Map<String, InFlight> group = new HashMap<>(own);
        peers.values().stream()
                .filter(peer -> peer.scope == WorkScope.MEMBER)
                .forEach(peer -> peer.work.forEach((endpointId, amount) -> addTo(group, endpointId, amount)));
        return group;
    }

    /**
     * Returns all work that is known, but for what one peer told.
     *
     * @param peerId the peer
     */
    public Map<String, InFlight> workWithout(String peerId) {
        Map<String, InFlight> others = new HashMap<>(total);
        PeerWork peer = peers.get(peerId);
        if (peer != null) {
            peer.work.forEach((endpointId, amount) -> addTo(others, endpointId, InFlight.NONE.minus(amount)));
        }
        return others;
    }

    /**
     * Takes what a peer tells of work; it replaces what that peer told before.
     *
     * @param peerId the peer
     * @param scope whose work it is; that of all others replaces what any leader told
     * @param work the work by endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void peerTold(String peerId, WorkScope scope, Map<String, InFlight> work, long nowMillis) {
        if (scope == WorkScope.GROUP && nowMillis < coveredUntilMillis) {
            return;
        }
        if (scope == WorkScope.OTHERS) {
            coveredUntilMillis = nowMillis + COVERED_MILLIS;
            forgetAll(peer -> peer.scope.leads());
        } else if (scope == WorkScope.GROUP) {
            forgetAll(peer -> peer.scope == WorkScope.OTHERS);
        }
        forget(peerId);
        peers.put(peerId, new PeerWork(scope, Map.copyOf(work), nowMillis));
        work.forEach(this::addTotal);
    }

    /**
     * Forgets the work of peers that have not been heard of for {@link #PEER_MEMORY_MILLIS}.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void forgetSilentPeers(long nowMillis) {
        forgetAll(peer -> nowMillis - peer.heardAtMillis > PEER_MEMORY_MILLIS);
    }

    private void forgetAll(Predicate<PeerWork> unwanted) {
        Set<String> ids = new HashSet<>();
        peers.forEach((id, peer) -> {
            if (unwanted.test(peer)) {
                ids.add(id);
            }
        });
        ids.forEach(this::forget);
    }

    private void forget(String peerId) {
        PeerWork peer = peers.remove(peerId);
        if (peer != null) {
            peer.work.forEach((endpointId, amount) -> addTotal(endpointId, InFlight.NONE.minus(amount)));
        }
    }

    private void add(String endpointId, InFlight amount) {
        addTo(own, endpointId, amount);
        addTotal(endpointId, amount);
        changed.add(endpointId);
    }

    private void addTotal(String endpointId, InFlight amount) {
        addTo(total, endpointId, amount);
    }

    private static void addTo(Map<String, InFlight> map, String endpointId, InFlight amount) {
        map.compute(endpointId, (id, before) -> {
            InFlight now = before == null ? amount : before.plus(amount);
            return now.equals(InFlight.NONE) ? null : now;
        });
    }

    /** What one peer told. */
    private record PeerWork(WorkScope scope, Map<String, InFlight> work, long heardAtMillis) {}
}
