/**
 * The retry budget that all routers share.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.retry;

import org.jspecify.annotations.NullMarked;
