/**
 * A router's knowledge of the fleet, derived from the platform's VM list (which lags), from the endpoints' own reports
 * and from failures.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.membership;

import org.jspecify.annotations.NullMarked;
