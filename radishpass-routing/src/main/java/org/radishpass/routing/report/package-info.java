/**
 * What routers report to each other besides the work in flight: the demand for each service, and the load of each
 * endpoint as the endpoints state it.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.report;

import org.jspecify.annotations.NullMarked;
