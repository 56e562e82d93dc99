package org.radishpass.core.fleet;

import java.util.AbstractList;
import java.util.List;
import java.util.RandomAccess;
import org.radishpass.core.placement.Rendezvous;

/**
 * Endpoints with the hashes of their identities worked out once, since every placement needs them all.
 *
 * <p>Immutable.
 *
 * @since 0.1.0
 */
public final class EndpointList extends AbstractList<Endpoint> implements RandomAccess {
    private final Endpoint[] endpoints;
    private final long[] hashes;
    private final boolean even;

    private EndpointList(List<Endpoint> source) {
        this.endpoints = source.toArray(new Endpoint[0]);
        this.hashes = new long[endpoints.length];
        boolean sameWeight = true;
        for (int i = 0; i < endpoints.length; i++) {
            hashes[i] = Rendezvous.hash(endpoints[i].id());
            sameWeight &= endpoints[i].weight() == endpoints[0].weight();
        }
        this.even = sameWeight;
    }

    /**
     * Returns a list of these endpoints, or the list itself if it is one already.
     *
     * @param endpoints the endpoints
     */
    public static EndpointList of(List<Endpoint> endpoints) {
        return endpoints instanceof EndpointList list ? list : new EndpointList(endpoints);
    }

    @Override
    public Endpoint get(int index) {
        return endpoints[index];
    }

    @Override
    public int size() {
        return endpoints.length;
    }

    /**
     * Returns the hash of an endpoint's identity.
     *
     * @param index its place in the list
     */
    public long hash(int index) {
        return hashes[index];
    }

    /** Tells whether all endpoints have the same weight. */
    public boolean even() {
        return even;
    }
}
