package org.radishpass.routing.report;

import java.util.ArrayList;
import java.util.List;

/**
 * The demand for services and the load of endpoints, as seen by one router or by several.
 *
 * @param demand the demand, at most one entry for each service, workspace and urgency
 * @param loads the load of endpoints, at most one entry for each endpoint
 * @since 0.8.0
 */
public record FleetObservations(List<ServiceDemand> demand, List<EndpointObservation> loads) {
    /** No observations. */
    public static final FleetObservations NONE = new FleetObservations(List.of(), List.of());

    /** Creates observations with copies of the lists. */
    public FleetObservations {
        demand = List.copyOf(demand);
        loads = List.copyOf(loads);
    }

    /**
     * Returns these observations and others of which neither repeats a demand or a load of the other.
     *
     * @param other the observations to add
     */
    public FleetObservations plus(FleetObservations other) {
        if (other.isEmpty()) {
            return this;
        }
        if (isEmpty()) {
            return other;
        }
        List<ServiceDemand> demands = new ArrayList<>(demand);
        demands.addAll(other.demand);
        List<EndpointObservation> allLoads = new ArrayList<>(loads);
        allLoads.addAll(other.loads);
        return new FleetObservations(demands, allLoads);
    }

    /** Tells whether there are no observations. */
    public boolean isEmpty() {
        return demand.isEmpty() && loads.isEmpty();
    }
}
