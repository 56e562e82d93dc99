/**
 * Work in flight at each endpoint, over all routers.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.load;

import org.jspecify.annotations.NullMarked;
