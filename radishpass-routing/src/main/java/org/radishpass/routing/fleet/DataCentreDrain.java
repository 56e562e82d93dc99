package org.radishpass.routing.fleet;

import org.radishpass.core.fleet.DataCentre;

/**
 * Whether the operator wants nothing new to be sent to the endpoints of a data centre.
 *
 * @param dataCentre the data centre
 * @param position where in the store's history that was written; the latest holds
 * @param drained whether nothing new is to be sent there; false once that was taken back
 * @since 0.6.0
 */
public record DataCentreDrain(DataCentre dataCentre, StorePosition position, boolean drained) {}
