/**
 * Leases, reconciliation and engine clients of the controller. Internal, not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.controller.internal;

import org.jspecify.annotations.NullMarked;
