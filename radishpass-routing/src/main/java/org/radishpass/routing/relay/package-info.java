/**
 * The path of a request through another router: a router that reaches no endpoint of a service relays requests to a router
 * that does. A request is relayed once at most. All decisions about endpoints are taken by the router that sends the
 * request to an endpoint.
 *
 * @since 0.9.0
 */
@NullMarked
package org.radishpass.routing.relay;

import org.jspecify.annotations.NullMarked;
