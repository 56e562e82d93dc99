package org.radishpass.routing.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.reachability.PartitionTable;

/**
 * The other routers to which requests can be relayed, and the choice among them. Confined to the traffic thread.
 *
 * @since 0.9.0
 */
public final class RelayPeers {
    /** The number of refusals in a row after which a router is left out. A single one may be due to its load. */
    private static final int MAX_REFUSALS = 3;

    /** The time for which a router is left out after it failed or refused several requests, in milliseconds. */
    static final long COOLDOWN_MILLIS = 1_000;

    private final DataCentre home;
    private final PartitionTable partitions;
    private final RandomGenerator random;
    private final Map<String, Integer> relayedTo = new HashMap<>();
    private final Map<String, Long> leftOutUntilMillis = new HashMap<>();
    private final Map<String, Integer> refusals = new HashMap<>();
    private List<FleetRouter> live = List.of();
    private Set<String> knownHosts = Set.of();

    /**
     * Creates an empty set of routers.
     *
     * @param home the data centre of this router
     * @param partitions the services that other routers do not reach
     * @param random chooses among routers that are alike
     */
    public RelayPeers(DataCentre home, PartitionTable partitions, RandomGenerator random) {
        this.home = home;
        this.partitions = partitions;
        this.random = random;
    }

    /**
     * Replaces the known routers.
     *
     * @param known all other routers
     * @param unsuspected those that are not suspected to be down
     */
    public void update(Collection<FleetRouter> known, Collection<FleetRouter> unsuspected) {
        Set<String> hosts = new HashSet<>();
        known.forEach(router -> hosts.add(router.address().host()));
        knownHosts = hosts;
        live = unsuspected.stream().filter(FleetRouter::relays).toList();
        List<String> ids = known.stream().map(FleetRouter::id).toList();
        leftOutUntilMillis.keySet().retainAll(ids);
        refusals.keySet().retainAll(ids);
    }

    /** Tells whether any other router is known. */
    public boolean anyKnown() {
        return !knownHosts.isEmpty();
    }

    /**
     * Tells whether a router ranks first for a key, by rendezvous hashing over itself and the others that are not
     * suspected to be down.
     *
     * @param key the hash of the key
     * @param id the id of the router
     * @since 0.11.0
     */
    public boolean ranksFirst(long key, String id) {
        long rank = Rendezvous.mix(key, Rendezvous.hash(id));
        return live.stream().noneMatch(router -> Rendezvous.mix(key, Rendezvous.hash(router.id())) > rank);
    }

    /** Tells whether a router with the given host is known. */
    boolean knownHost(String host) {
        return knownHosts.contains(host);
    }

    /**
     * Tells whether there is a router to which a request can be relayed.
     *
     * @param service the service of the request
     * @param excluded the routers that were tried before
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean available(String service, Set<String> excluded, long nowMillis) {
        return live.stream().anyMatch(router -> usable(router, service, excluded, nowMillis));
    }

    /**
     * Chooses a router that has a path to a service, as far as is known: the one with fewer requests relayed to it, of two
     * taken at random. Routers of this data centre come first, unless more of them lack a path than have one.
     *
     * @param service the service of the request
     * @param excluded the routers that were tried before
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public Optional<FleetRouter> choose(String service, Set<String> excluded, long nowMillis) {
        List<FleetRouter> usable = live.stream()
                .filter(router -> usable(router, service, excluded, nowMillis))
                .toList();
        List<FleetRouter> near = usable.stream().filter(this::inThisDataCentre).toList();
        long lackingPath = 1
                + live.stream()
                        .filter(this::inThisDataCentre)
                        .filter(router -> partitions.unreached(router.id(), service, nowMillis))
                        .count();
        return pick(near.size() >= lackingPath ? near : usable);
    }

    private Optional<FleetRouter> pick(List<FleetRouter> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        FleetRouter one = candidates.get(random.nextInt(candidates.size()));
        FleetRouter other = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(relayedTo(one) <= relayedTo(other) ? one : other);
    }

    private boolean usable(FleetRouter router, String service, Set<String> excluded, long nowMillis) {
        return !excluded.contains(router.id())
                && !partitions.unreached(router.id(), service, nowMillis)
                && leftOutUntilMillis.getOrDefault(router.id(), Long.MIN_VALUE) <= nowMillis;
    }

    private boolean inThisDataCentre(FleetRouter router) {
        return router.dataCentre().equals(home);
    }

    private int relayedTo(FleetRouter router) {
        return relayedTo.getOrDefault(router.id(), 0);
    }

    /** Records that a request is being relayed to a router. */
    public void started(String routerId) {
        relayedTo.merge(routerId, 1, Integer::sum);
    }

    /** Records that a relayed request has ended. */
    public void ended(String routerId) {
        relayedTo.computeIfPresent(routerId, (id, count) -> count == 1 ? null : count - 1);
    }

    /** Records that a router has passed on the response of an endpoint. */
    public void answered(String routerId) {
        refusals.remove(routerId);
    }

    /**
     * Records that a router has refused a request. After several refusals it is left out for a while.
     *
     * @param routerId the router
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void refused(String routerId, long nowMillis) {
        if (refusals.merge(routerId, 1, Integer::sum) >= MAX_REFUSALS) {
            refusals.remove(routerId);
            leaveOut(routerId, nowMillis);
        }
    }

    /**
     * Leaves a router out for a while, because it could not be reached or its connection was lost.
     *
     * @param routerId the router
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void leaveOut(String routerId, long nowMillis) {
        leftOutUntilMillis.put(routerId, nowMillis + COOLDOWN_MILLIS);
    }

    /** Returns the number of requests that are being relayed to other routers. */
    int inProgress() {
        return relayedTo.values().stream().mapToInt(Integer::intValue).sum();
    }
}
