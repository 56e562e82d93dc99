/**
 * Progress tracking and timeouts of document transfers.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.runtime.transfer;

import org.jspecify.annotations.NullMarked;
