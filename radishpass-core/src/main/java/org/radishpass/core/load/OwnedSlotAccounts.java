package org.radishpass.core.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.Endpoint;

/**
 * The slot accounts of the endpoints that a router owns, and the load of the pools to which these endpoints belong.
 *
 * <p>The load of a pool is the load that the other owners had at the last exchange plus the current load of the
 * endpoints owned here. If no exchange succeeds within {@link #POOL_LOAD_LIFETIME}, the load of the endpoints owned
 * here is used in place of the load of the pool.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 *
 * @since 0.1.0
 */
public final class OwnedSlotAccounts {
    /** How long the other owners' part of a pool's load is used after an exchange. */
    public static final Duration POOL_LOAD_LIFETIME = Duration.ofSeconds(5);

    private final Map<String, SlotAccount> accounts = new HashMap<>();
    private final Map<String, Endpoint> owned = new HashMap<>();
    private final Map<String, OthersLoad> othersLoadByPool = new HashMap<>();

    /**
     * Sets the endpoints that this router owns. The accounts of endpoints that it no longer owns are dropped.
     *
     * @param endpoints the endpoints that this router owns
     */
    public void setOwnedEndpoints(Collection<Endpoint> endpoints) {
        owned.clear();
        endpoints.forEach(endpoint -> owned.put(endpoint.id(), endpoint));
        accounts.keySet().retainAll(owned.keySet());
        owned.keySet().forEach(id -> accounts.computeIfAbsent(id, key -> new SlotAccount()));
    }

    /** Returns the ids of the endpoints that this router owns. */
    public Set<String> ownedIds() {
        return owned.keySet();
    }

    /**
     * Grants or denies a slot.
     *
     * @param endpointId the id of the endpoint
     * @param pool the name of the pool, whose mean load determines the bound
     * @param request the requested slot
     * @param now the current time by this process's clock
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
     * Adopts a slot that another owner granted. Has no effect if this router does not own the endpoint.
     *
     * @param endpointId the id of the endpoint
     * @param request the slot, which its holder holds already
     */
    public void adopt(String endpointId, SlotRequest request) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.adopt(request);
        }
    }

    /**
     * Releases a slot. Has no effect if this router does not own the endpoint or the slot is not held.
     *
     * @param endpointId the id of the endpoint
     * @param slot the slot to release
     */
    public void release(String endpointId, SlotId slot) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.release(slot);
        }
    }

    /**
     * Applies an endpoint's own report of its load. Has no effect if this router does not own the endpoint.
     *
     * @param endpointId the id of the endpoint
     * @param running the number of requests in progress at the endpoint
     * @param capacity the number of requests that the endpoint can run concurrently; 0 if it does not report one
     */
    public void report(String endpointId, int running, int capacity) {
        SlotAccount account = accounts.get(endpointId);
        if (account != null) {
            account.report(running, capacity);
        }
    }

    /**
     * Releases the slots of a router that has stopped.
     *
     * @param holder the id of the router that holds the slots
     */
    public void releaseAllOf(String holder) {
        accounts.values().forEach(account -> account.releaseAllOf(holder));
    }

    /**
     * Releases the slots whose deadline has passed.
     *
     * @param now the current time by this process's clock
     */
    public void expire(Instant now) {
        accounts.values().forEach(account -> account.expire(now));
    }

    /**
     * Returns the number of requests in progress at an owned endpoint; 0 if this router does not own the endpoint.
     *
     * @param endpointId the id of the endpoint
     */
    public int running(String endpointId) {
        SlotAccount account = accounts.get(endpointId);
        return account == null ? 0 : account.running();
    }

    /** Returns the load of the owned endpoints that accept new requests, by pool. */
    public Map<String, PoolLoad> ownedLoadByPool() {
        Map<String, PoolLoad> loadByPool = new HashMap<>();
        owned.values().stream()
                .filter(endpoint -> endpoint.state().acceptsNewRequests())
                .forEach(endpoint -> {
                    PoolLoad load = new PoolLoad(running(endpoint.id()), endpoint.weight());
                    endpoint.pools().forEach(pool -> loadByPool.merge(pool, load, PoolLoad::plus));
                });
        return loadByPool;
    }

    /**
     * Records the load of a whole pool, as received in an exchange.
     *
     * @param pool the name of the pool
     * @param total the load of the pool
     * @param ownPart this owner's part as it is included in the total
     * @param now the current time by this process's clock
     */
    public void recordPoolLoad(String pool, PoolLoad total, PoolLoad ownPart, Instant now) {
        PoolLoad others = new PoolLoad(
                Math.max(0, total.running() - ownPart.running()), Math.max(0, total.weight() - ownPart.weight()));
        othersLoadByPool.put(pool, new OthersLoad(others, now.plus(POOL_LOAD_LIFETIME)));
    }

    /**
     * Returns the load of a pool, as far as this router knows.
     *
     * @param pool the name of the pool
     * @param now the current time by this process's clock
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
