package org.radishpass.core.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.Endpoint;

/**
 * The accounts of the endpoints that a router owns, and what it knows of the pools around them.
 *
 * <p>The load of a pool is what its other owners had at the last exchange plus what this owner has now. If no exchange
 * succeeds for a while, the mean of the own endpoints stands in for the pool's.
 *
 * <p>Confined to one thread.
 *
 * @since 0.1.0
 */
public final class SlotBook {
    /** How long the others' part of a pool is used without news. */
    public static final Duration POOL_LOAD_LIFETIME = Duration.ofSeconds(5);

    private final Map<String, SlotAccount> accounts = new HashMap<>();
    private final Map<String, Endpoint> owned = new HashMap<>();
    private final Map<String, OthersLoad> othersLoadByPool = new HashMap<>();

    /**
     * Sets the endpoints that this router owns. An account of one that it no longer owns is closed.
     *
     * @param endpoints the endpoints
     */
    public void own(Collection<Endpoint> endpoints) {
        owned.clear();
        endpoints.forEach(endpoint -> owned.put(endpoint.id(), endpoint));
        accounts.keySet().retainAll(owned.keySet());
        owned.keySet().forEach(id -> accounts.computeIfAbsent(id, key -> new SlotAccount()));
    }

    /** Returns the identities of the endpoints that this router owns. */
    public Set<String> ownedIds() {
        return owned.keySet();
    }

    /**
     * Grants or denies a slot.
     *
     * @param endpointId the endpoint
     * @param pool the pool whose mean counts
     * @param request the slot
     * @param now the time by this process's clock
     */
    public SlotAnswer reserve(String endpointId, String pool, SlotRequest request, Instant now) {
        Endpoint endpoint = owned.get(endpointId);
        SlotAccount account = accounts.get(endpointId);
        if (endpoint == null || account == null) {
            return SlotAnswer.UNCONFIRMED;
        }
        if (!endpoint.serves(pool)) {
            return SlotAnswer.CLOSED;
        }
        return account.reserve(request, poolLoad(pool, now), endpoint.weight());
    }

    /**
     * Takes over a slot that another owner granted.
     *
     * @param endpointId the endpoint
     * @param request the slot
     */
    public void adopt(String endpointId, SlotRequest request) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.adopt(request);
        }
    }

    /**
     * Frees a slot.
     *
     * @param endpointId the endpoint
     * @param slot the slot
     */
    public void release(String endpointId, SlotId slot) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.release(slot);
        }
    }

    /**
     * Takes an endpoint's own report of its load.
     *
     * @param endpointId the endpoint
     * @param running the requests that it runs
     * @param capacity the requests that it can run at once
     */
    public void report(String endpointId, int running, int capacity) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.report(running, capacity);
        }
    }

    /**
     * Frees the slots of a router that is gone.
     *
     * @param holder the router
     */
    public void releaseAllOf(String holder) {
        accounts.values().forEach(account -> account.releaseAllOf(holder));
    }

    /**
     * Frees the slots whose deadline has passed.
     *
     * @param now the time by this process's clock
     */
    public void expire(Instant now) {
        accounts.values().forEach(account -> account.expire(now));
    }

    /**
     * Returns the load of an owned endpoint.
     *
     * @param endpointId the endpoint
     */
    public int running(String endpointId) {
        SlotAccount account = accounts.get(endpointId);
        return account == null ? 0 : account.running();
    }

    /** Returns this owner's part of each pool that its endpoints are open to. */
    public Map<String, PoolLoad> parts() {
        Map<String, PoolLoad> parts = new HashMap<>();
        owned.values().stream()
                .filter(endpoint -> endpoint.state().acceptsNewRequests())
                .forEach(endpoint -> {
                    PoolLoad load = new PoolLoad(running(endpoint.id()), endpoint.weight());
                    endpoint.pools().forEach(pool -> parts.merge(pool, load, PoolLoad::plus));
                });
        return parts;
    }

    /**
     * Takes the load of a whole pool.
     *
     * @param pool the pool
     * @param total its load
     * @param ownPart this owner's part that the total was added up with
     * @param now the time by this process's clock
     */
    public void total(String pool, PoolLoad total, PoolLoad ownPart, Instant now) {
        PoolLoad others = new PoolLoad(
                Math.max(0, total.running() - ownPart.running()), Math.max(0, total.weight() - ownPart.weight()));
        othersLoadByPool.put(pool, new OthersLoad(others, now.plus(POOL_LOAD_LIFETIME)));
    }

    /**
     * Returns the load of a pool as far as it is known here.
     *
     * @param pool the pool
     * @param now the time by this process's clock
     */
    public PoolLoad poolLoad(String pool, Instant now) {
        PoolLoad own = PoolLoad.NONE;
        for (Endpoint endpoint : owned.values()) {
            if (endpoint.serves(pool)) {
                own = own.plus(new PoolLoad(running(endpoint.id()), endpoint.weight()));
            }
        }
        OthersLoad others = othersLoadByPool.get(pool);
        return others == null || !others.deadline().isAfter(now) ? own : own.plus(others.load());
    }

    private record OthersLoad(PoolLoad load, Instant deadline) {}
}
