/**
 * The choice of an endpoint for a request: ranking by affinity, and baseline policies for comparison.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.placement;

import org.jspecify.annotations.NullMarked;
