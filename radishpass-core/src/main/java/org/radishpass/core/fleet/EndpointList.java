package org.radishpass.core.fleet;

import java.util.AbstractList;
import java.util.List;
import java.util.RandomAccess;
import org.radishpass.core.placement.Rendezvous;

/**
 * A list of endpoints that stores the hash of each endpoint's id. Each placement decision needs all of these
 * hashes, so they are computed once.
 *
 * <p>Immutable.
 *
 * @since 0.1.0
 */
public final class EndpointList extends AbstractList<Endpoint> implements RandomAccess {
    private final Endpoint[] endpoints;
    private final long[] identityHashes;
    private final boolean uniformWeight;

    private EndpointList(List<Endpoint> source) {
        this.endpoints = source.toArray(new Endpoint[0]);
        this.identityHashes = new long[endpoints.length];
        boolean sameWeight = true;
        for (int i = 0; i < endpoints.length; i++) {
            identityHashes[i] = Rendezvous.hash(endpoints[i].id());
            sameWeight &= endpoints[i].weight() == endpoints[0].weight();
        }
        this.uniformWeight = sameWeight;
    }

    /**
     * Returns a list of these endpoints. If the argument is an {@code EndpointList} already, it is returned unchanged.
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
     * Returns the hash of an endpoint's id.
     *
     * @param index the position of the endpoint in the list
     */
    public long identityHash(int index) {
        return identityHashes[index];
    }

    /** Returns whether all endpoints have the same weight. */
    public boolean uniformWeight() {
        return uniformWeight;
    }
}
