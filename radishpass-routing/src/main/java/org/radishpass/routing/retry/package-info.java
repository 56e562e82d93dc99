/**
 * The retry budget of each service, which all routers of the fleet share.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.retry;

import org.jspecify.annotations.NullMarked;
