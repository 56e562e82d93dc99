/**
 * What endpoints are to do according to the records, and the orders that bring them there.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.converge;

import org.jspecify.annotations.NullMarked;
