/**
 * Load of the endpoints: the work in flight, summed over all routers, and the limits that depend on it.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.load;

import org.jspecify.annotations.NullMarked;
