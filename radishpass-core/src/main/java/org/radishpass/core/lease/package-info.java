/**
 * Leases with fencing numbers, safe against pauses and differing clocks.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.lease;

import org.jspecify.annotations.NullMarked;
