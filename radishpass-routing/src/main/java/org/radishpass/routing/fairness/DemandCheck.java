package org.radishpass.routing.fairness;

import java.util.List;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ServiceDemand;

/**
 * Finds impossible figures in the demand that a peer reports. The demand of such a report is dropped as a whole, so
 * that the previous report stays in force until it expires.
 *
 * @since 0.8.0
 */
public final class DemandCheck {
    private static final double MAX_PER_SECOND = 1_000_000;
    private static final int MAX_URGENCY = 9;

    /** Maximum number of entries: several times the classes of requests of the largest deployment. */
    private static final int MAX_ENTRIES = 1_024;

    private DemandCheck() {
        // static methods only
    }

    /**
     * Tells whether all figures are possible.
     *
     * @param demand the reported demand
     */
    public static boolean possible(List<ServiceDemand> demand) {
        return demand.size() <= MAX_ENTRIES && demand.stream().allMatch(DemandCheck::possible);
    }

    /**
     * Returns observations without their demand.
     *
     * @param observations the observations
     */
    public static FleetObservations withoutDemand(FleetObservations observations) {
        return observations.demand().isEmpty() ? observations : new FleetObservations(List.of(), observations.loads());
    }

    private static boolean possible(ServiceDemand entry) {
        return !entry.service().isEmpty()
                && entry.urgency() >= 0
                && entry.urgency() <= MAX_URGENCY
                && possible(entry.arrived())
                && possible(entry.sent())
                && possible(entry.completed())
                && possible(entry.refused());
    }

    private static boolean possible(double perSecond) {
        return perSecond >= 0 && perSecond <= MAX_PER_SECOND;
    }
}
