package org.radishpass.core.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;

/** Makes endpoints for tests. */
public final class Endpoints {
    /** The pool that they serve. */
    public static final String POOL = "model@1";

    private Endpoints() {
        // static methods only
    }

    /**
     * Returns ready engines.
     *
     * @param count how many
     */
    public static List<Endpoint> engines(int count) {
        List<Endpoint> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("engine-" + i, EndpointState.READY));
        }
        return engines;
    }

    /**
     * Returns an engine.
     *
     * @param id its identity
     * @param state the stage of its life
     */
    public static Engine engine(String id, EndpointState state) {
        return new Engine(id, "1", new DataCentre("here"), new Address("127.0.0.1", 1), state, Set.of(POOL), 1);
    }
}
