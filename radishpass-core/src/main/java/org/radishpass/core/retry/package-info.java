/**
 * Limits on the number of retries.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.retry;

import org.jspecify.annotations.NullMarked;
