/**
 * The routing configuration that the operator publishes: routes, services, workspaces and limits.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.config;

import org.jspecify.annotations.NullMarked;
