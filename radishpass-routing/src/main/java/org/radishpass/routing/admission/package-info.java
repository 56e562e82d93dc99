/**
 * Admission of requests at a router that receives more requests than it can start: the order in which they start, which
 * are refused, and when refused callers should return.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.admission;

import org.jspecify.annotations.NullMarked;
