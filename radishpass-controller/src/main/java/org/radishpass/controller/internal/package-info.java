/**
 * Leases, status reads and orders of a controller; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.controller.internal;

import org.jspecify.annotations.NullMarked;
