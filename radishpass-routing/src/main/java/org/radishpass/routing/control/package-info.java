/**
 * The control side of a router: configuration, endpoint list, peers, registration and quarantine, kept up to date from
 * the store and from other routers. The request path reads the resulting view.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.control;

import org.jspecify.annotations.NullMarked;
