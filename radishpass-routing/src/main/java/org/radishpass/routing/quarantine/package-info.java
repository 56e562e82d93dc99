/**
 * Quarantine of requests that crash the endpoints that run them: how such requests are identified and refused.
 *
 * @since 0.5.0
 */
@NullMarked
package org.radishpass.routing.quarantine;

import org.jspecify.annotations.NullMarked;
