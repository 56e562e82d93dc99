/**
 * Load accounting for endpoints and pools, and the bound that keeps the load of endpoints even.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.load;

import org.jspecify.annotations.NullMarked;
