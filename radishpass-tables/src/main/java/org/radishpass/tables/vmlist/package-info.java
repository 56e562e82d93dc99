/**
 * Client for the platform's list of VMs, which lags behind the actual state of the VMs.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.vmlist;

import org.jspecify.annotations.NullMarked;
