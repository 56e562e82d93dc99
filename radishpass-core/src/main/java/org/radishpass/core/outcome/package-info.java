/**
 * The outcome of a request: whether it may have run, and the refusals that tell callers so.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.outcome;

import org.jspecify.annotations.NullMarked;
