/**
 * Virtual machines, data centres and endpoints as the rest of the core sees them.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.fleet;

import org.jspecify.annotations.NullMarked;
