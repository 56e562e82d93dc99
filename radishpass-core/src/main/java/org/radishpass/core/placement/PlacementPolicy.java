package org.radishpass.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointList;

/**
 * The policies that order endpoints for a request. The default is {@link #BOUNDED_AFFINITY}; the others are baselines
 * for comparison.
 *
 * @since 0.1.0
 */
public enum PlacementPolicy {
    /** Orders the endpoints at random. */
    RANDOM(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            return shuffled(request);
        }
    },
    /** Starts with each endpoint in turn. */
    ROUND_ROBIN(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            List<Endpoint> ranked = new ArrayList<>(request.endpoints());
            if (!ranked.isEmpty()) {
                Collections.rotate(ranked, -(int) (request.sequence() % ranked.size()));
            }
            return ranked;
        }
    },
    /** Starts with the endpoint that has the least load for its weight, as last reported. */
    LEAST_LOAD(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            List<Endpoint> ranked = shuffled(request);
            ranked.sort(
                    Comparator.comparingDouble(endpoint -> request.loads().load(endpoint.id()) / endpoint.weight()));
            return ranked;
        }
    },
    /** Orders the endpoints by rendezvous hashing on workspace and chat, without a load bound. */
    CONSISTENT_HASH(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            return Ranking.of(request.endpoints(), request.workspace(), request.chat(), 0, request.maxEndpoints());
        }
    },
    /**
     * Starts with the endpoint that answered the last turn of the chat and orders the others by rendezvous hashing on
     * workspace and chat. The owners of the endpoints enforce a load bound.
     */
    BOUNDED_AFFINITY(true) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            List<Endpoint> ranked = Ranking.of(
                    request.endpoints(), request.workspace(), request.chat(), request.spread(), request.maxEndpoints());
            EndpointList open = EndpointList.of(request.endpoints());
            AffinityToken.find(request.affinityToken(), request.workspace(), open)
                    .ifPresent(index -> {
                        ranked.remove(open.get(index));
                        ranked.add(0, open.get(index));
                    });
            return ranked;
        }
    };

    private final boolean bounded;

    PlacementPolicy(boolean bounded) {
        this.bounded = bounded;
    }

    /** Returns whether a router must reserve a slot at an endpoint before it sends a request there. */
    public boolean bounded() {
        return bounded;
    }

    /** Returns whether each router must query every endpoint for its load. */
    public boolean needsReports() {
        return this == LEAST_LOAD;
    }

    /**
     * Returns the endpoints in the order in which they are to be tried.
     *
     * @param request the request to be placed
     */
    public abstract List<Endpoint> rank(PlacementRequest request);

    private static List<Endpoint> shuffled(PlacementRequest request) {
        List<Endpoint> ranked = new ArrayList<>(request.endpoints());
        Collections.shuffle(ranked, request.random());
        return ranked;
    }
}
