/**
 * The choice of a request's endpoint by prompt affinity and load.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.placement;

import org.jspecify.annotations.NullMarked;
