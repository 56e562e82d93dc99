package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.DataCentreDrain;

/**
 * What an answer of the store says of data centres that are to get nothing new.
 *
 * @param whole whether all that are drained are named; if not, only what has changed is
 * @param revision the store's revision at which this holds
 * @param entries what it says of data centres
 * @since 0.6.0
 */
public record DrainReading(boolean whole, long revision, List<DataCentreDrain> entries) {
    /** Says nothing. */
    public static final DrainReading NONE = new DrainReading(false, -1, List.of());

    /** Takes a copy. */
    public DrainReading {
        entries = List.copyOf(entries);
    }
}
