package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.StorePosition;

/**
 * What an answer of the store says of data centres that are to get nothing new.
 *
 * @param whole whether all that are drained are named; if not, only what has changed is
 * @param position the place in the store's history at which this holds
 * @param entries what it says of data centres
 * @since 0.6.0
 */
public record DrainReading(boolean whole, StorePosition position, List<DataCentreDrain> entries) {
    /** Says nothing. */
    public static final DrainReading NONE = new DrainReading(false, StorePosition.NONE, List.of());

    /** Takes a copy. */
    public DrainReading {
        entries = List.copyOf(entries);
    }
}
