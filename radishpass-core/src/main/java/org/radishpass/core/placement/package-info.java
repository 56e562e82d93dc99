/**
 * Choice of an endpoint for a request: ranking by affinity and the policies measured against it.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.placement;

import org.jspecify.annotations.NullMarked;
