/**
 * Metrics that several programs share.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.metrics;

import org.jspecify.annotations.NullMarked;
