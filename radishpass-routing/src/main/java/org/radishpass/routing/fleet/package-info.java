/**
 * The endpoints to which requests can be routed, and the routers and data centres of the fleet.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.fleet;

import org.jspecify.annotations.NullMarked;
