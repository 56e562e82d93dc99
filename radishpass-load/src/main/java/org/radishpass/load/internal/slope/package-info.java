/**
 * Measured slopes, and the capacity tables worked out from them; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load.internal.slope;

import org.jspecify.annotations.NullMarked;
