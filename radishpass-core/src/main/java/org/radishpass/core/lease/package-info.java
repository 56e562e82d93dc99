/**
 * Leases with fencing numbers that stay safe when processes pause and clocks differ.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.lease;

import org.jspecify.annotations.NullMarked;
