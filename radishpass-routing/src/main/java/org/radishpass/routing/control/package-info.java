/**
 * Configuration, endpoint list and peers: everything a router believes that is not a request.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.control;

import org.jspecify.annotations.NullMarked;
