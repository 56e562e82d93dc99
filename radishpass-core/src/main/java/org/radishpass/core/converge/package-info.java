/**
 * The desired state of endpoints, derived from configuration records, and the orders that bring endpoints to that
 * state.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.converge;

import org.jspecify.annotations.NullMarked;
