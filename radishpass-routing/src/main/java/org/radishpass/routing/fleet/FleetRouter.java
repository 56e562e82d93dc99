package org.radishpass.routing.fleet;

import java.util.Comparator;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;

/**
 * A router of the fleet, as it registered or introduced itself.
 *
 * @param address where it listens for peers
 * @param dataCentre where it stands; {@link #UNLOCATED} for one that is known by its address only
 * @param cores the processor time that it may use, in cores
 * @since 0.3.0
 */
public record FleetRouter(Address address, DataCentre dataCentre, double cores) {
    /** Stands for a data centre that is not known yet. */
    public static final DataCentre UNLOCATED = new DataCentre("unlocated");

    /** The order in which routers are asked to do work for others: large ones first, then by address. */
    public static final Comparator<FleetRouter> BY_DUTY =
            Comparator.comparingDouble(FleetRouter::cores).reversed().thenComparing(FleetRouter::id);

    /**
     * Returns a router of which only the address is known.
     *
     * @param address where it listens for peers
     */
    public static FleetRouter unlocated(Address address) {
        return new FleetRouter(address, UNLOCATED, 0);
    }

    /** Returns the name by which peers know it. */
    public String id() {
        return address.toString();
    }

    /** Tells whether it is known where it stands. */
    public boolean located() {
        return !dataCentre.equals(UNLOCATED);
    }
}
