package org.radishpass.routing.fleet;

import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.DataCentre;

/**
 * Maps data centres to their regions, as configured in the settings.
 *
 * @param byDataCentre the region of each data centre
 * @since 0.6.0
 */
public record RegionMap(Map<DataCentre, Region> byDataCentre) {
    /** A map without data centres. */
    public static final RegionMap EMPTY = new RegionMap(Map.of());

    /** Creates a map with a copy of the entries. */
    public RegionMap {
        byDataCentre = Map.copyOf(byDataCentre);
    }

    /**
     * Tells whether a data centre is in an allowed region. A data centre whose region is unknown is in no region.
     *
     * @param dataCentre the data centre
     * @param allowed the allowed regions; empty if all data centres are allowed
     */
    public boolean inAllowedRegion(DataCentre dataCentre, Set<Region> allowed) {
        Region region = byDataCentre.get(dataCentre);
        return allowed.isEmpty() || (region != null && allowed.contains(region));
    }
}
