package org.radishpass.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointList;

/**
 * The ways of ordering endpoints for a request: the fleet's own and the baselines that it is measured against.
 *
 * @since 0.1.0
 */
public enum PlacementPolicy {
    /** Any endpoint, with equal chance. */
    RANDOM(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            return shuffled(request);
        }
    },
    /** Each endpoint in turn. */
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
    /** The endpoint with the least load as last reported. */
    LEAST_LOAD(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            List<Endpoint> ranked = shuffled(request);
            ranked.sort(
                    Comparator.comparingDouble(endpoint -> request.loads().load(endpoint.id()) / endpoint.weight()));
            return ranked;
        }
    },
    /** Rendezvous on the chat, without a bound on load. */
    CONSISTENT_HASH(false) {
        @Override
        public List<Endpoint> rank(PlacementRequest request) {
            return Ranking.of(request.endpoints(), request.workspace(), request.chat(), 0, request.maxEndpoints());
        }
    },
    /** The endpoint of the last turn, then rendezvous on workspace and chat, under a bound that owners count. */
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

    /** Tells whether a slot must be reserved before a request goes out. */
    public boolean bounded() {
        return bounded;
    }

    /** Tells whether each router must ask every endpoint for its load. */
    public boolean needsReports() {
        return this == LEAST_LOAD;
    }

    /**
     * Returns the endpoints in the order in which they are to be tried.
     *
     * @param request what is to be placed
     */
    public abstract List<Endpoint> rank(PlacementRequest request);

    private static List<Endpoint> shuffled(PlacementRequest request) {
        List<Endpoint> ranked = new ArrayList<>(request.endpoints());
        Collections.shuffle(ranked, request.random());
        return ranked;
    }
}
