/**
 * The endpoints that routed requests can be sent to.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.fleet;

import org.jspecify.annotations.NullMarked;
