/**
 * Shares of workspaces and urgencies of a contended service: who is admitted while the fleet is offered more requests
 * than the endpoints of the service complete. Decisions without I/O, threads or a clock.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.fairness;

import org.jspecify.annotations.NullMarked;
