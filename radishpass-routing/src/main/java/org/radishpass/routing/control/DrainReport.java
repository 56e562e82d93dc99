package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.StorePosition;

/**
 * The data-centre drains that a response of the store reports.
 *
 * @param complete whether the response lists all drained data centres; otherwise it lists only changes
 * @param position the position in the store's history at which the response holds
 * @param entries the reported drains, and the ends of drains
 * @since 0.6.0
 */
public record DrainReport(boolean complete, StorePosition position, List<DataCentreDrain> entries) {
    /** A report that contains no drains. */
    public static final DrainReport NONE = new DrainReport(false, StorePosition.NONE, List.of());

    /** Copies the entries. */
    public DrainReport {
        entries = List.copyOf(entries);
    }
}
