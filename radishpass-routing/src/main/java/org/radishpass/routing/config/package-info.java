/**
 * The configuration of routed requests, as the operator last published it.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.config;

import org.jspecify.annotations.NullMarked;
