package org.radishpass.routing.fleet;

import org.radishpass.core.fleet.DataCentre;

/**
 * An order of the operator to drain a data centre, or to end the draining. A drained data centre receives no new
 * requests.
 *
 * @param dataCentre the data centre
 * @param position the position in the store's history at which the order was written; the latest order applies
 * @param drained true to drain the data centre, false to end the draining
 * @since 0.6.0
 */
public record DataCentreDrain(DataCentre dataCentre, StorePosition position, boolean drained) {}
