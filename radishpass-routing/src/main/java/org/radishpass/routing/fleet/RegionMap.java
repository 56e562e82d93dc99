package org.radishpass.routing.fleet;

import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.DataCentre;

/**
 * The region of each data centre, from the settings.
 *
 * @param byDataCentre the regions
 * @since 0.6.0
 */
public record RegionMap(Map<DataCentre, Region> byDataCentre) {
    /** Knows no data centre. */
    public static final RegionMap EMPTY = new RegionMap(Map.of());

    /** Takes a copy. */
    public RegionMap {
        byDataCentre = Map.copyOf(byDataCentre);
    }

    /**
     * Tells whether a data centre stands in one of the regions. One whose region is not known stands in none.
     *
     * @param dataCentre the data centre
     * @param allowed the regions; empty if all are allowed
     */
    public boolean within(DataCentre dataCentre, Set<Region> allowed) {
        Region region = byDataCentre.get(dataCentre);
        return allowed.isEmpty() || (region != null && allowed.contains(region));
    }
}
