package org.radishpass.core.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;

/** Creates endpoints for tests. */
public final class Endpoints {
    /** The pool that all these endpoints serve. */
    public static final String POOL = "model@1";

    private Endpoints() {
        // static methods only
    }

    /**
     * Returns engines in state {@link EndpointState#READY}, named {@code engine-0}, {@code engine-1} and so on.
     *
     * @param count the number of engines
     */
    public static List<Endpoint> engines(int count) {
        List<Endpoint> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("engine-" + i, EndpointState.READY));
        }
        return engines;
    }

    /**
     * Returns an engine that serves {@link #POOL}.
     *
     * @param id the id of the engine
     * @param state the lifecycle state of the engine
     */
    public static Engine engine(String id, EndpointState state) {
        return new Engine(id, "1", new DataCentre("here"), new Address("127.0.0.1", 1), state, Set.of(POOL), 1);
    }
}
