/**
 * Measured slopes and the capacity tables that are derived from them. Internal; not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load.internal.slope;

import org.jspecify.annotations.NullMarked;
