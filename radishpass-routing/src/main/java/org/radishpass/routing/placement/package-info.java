/**
 * Chooses the endpoint of a request.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.placement;

import org.jspecify.annotations.NullMarked;
